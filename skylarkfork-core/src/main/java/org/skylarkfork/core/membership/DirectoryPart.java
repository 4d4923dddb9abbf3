package org.skylarkfork.core.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.LoadReport;
import org.skylarkfork.core.upstream.UpstreamDirectory;
import org.skylarkfork.core.upstream.UpstreamRecord;
import org.skylarkfork.core.upstream.UpstreamState;

/** Takes upstreams' announcements and keeps the directory of those that are there. */
public final class DirectoryPart implements Part, UpstreamDirectory {

  private final String self;
  private final ConfigurationView configuration;
  private final DirectorySettings settings;
  private final UpstreamTable table = new UpstreamTable();
  private final Map<String, Instant> lastHeard = new HashMap<>();

  /**
   * Makes an empty directory.
   *
   * @param self name of this daemon
   * @param configuration says which upstreams are drained
   * @param settings how it works
   */
  public DirectoryPart(String self, ConfigurationView configuration, DirectorySettings settings) {
    this.self = self;
    this.configuration = configuration;
    this.settings = settings;
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof UpstreamEvent.Announced announced) {
      announced(announced.announcement(), now, output);
    } else if (event instanceof LifecycleEvent.Tick) {
      dropSilent(now, output);
    }
  }

  @Override
  public List<Announcement> engines(ModelVersion version, Instant now) {
    return withoutDrained(table.engines(version));
  }

  @Override
  public List<Announcement> services(String service, Instant now) {
    return withoutDrained(table.services(service));
  }

  @Override
  public Optional<Announcement> find(String id) {
    UpstreamRecord known = table.get(id);
    boolean live = known != null && known.state() == UpstreamState.LIVE;
    return live ? Optional.of(known.announcement()) : Optional.empty();
  }

  @Override
  public List<Announcement> all() {
    return table.all().stream()
        .filter(known -> known.state() == UpstreamState.LIVE)
        .map(UpstreamRecord::announcement)
        .toList();
  }

  private List<Announcement> withoutDrained(Collection<Announcement> upstreams) {
    List<String> drained = configuration.current().drainedUpstreams();
    if (drained.isEmpty()) {
      return List.copyOf(upstreams);
    }
    return upstreams.stream().filter(upstream -> !drained.contains(upstream.id())).toList();
  }

  private void announced(Announcement said, Instant now, Output output) {
    UpstreamRecord known = table.get(said.id());
    if (known != null && isLate(said, known)) {
      output.effect(new TraceEffect.Count("announcements_late", "", 1));
      return;
    }
    retireFormerAt(said, now, output);
    lastHeard.put(said.id(), now);
    UpstreamState state = said.gone() ? UpstreamState.GONE : UpstreamState.LIVE;
    Announcement kept = UpstreamTable.withLoad(said, said.load());
    if (known == null || known.state() != state || differs(kept, known.announcement())) {
      change(new UpstreamRecord(kept, self, nextSequence(known, now), state), output);
    } else {
      table.putLoad(said.id(), said.load());
    }
  }

  private static boolean isLate(Announcement said, UpstreamRecord known) {
    long newest = known.announcement().incarnation();
    // A heartbeat that was under way while its process ended would bring the upstream back.
    return said.incarnation() < newest
        || said.incarnation() == newest && known.state() == UpstreamState.GONE;
  }

  /** Two processes can't listen at one address, so the newer ends the record of the older. */
  private void retireFormerAt(Announcement said, Instant now, Output output) {
    UpstreamRecord former = table.atAddress(said.host(), said.port());
    if (former == null || former.id().equals(said.id())) {
      return;
    }
    long sequence = nextSequence(former, now);
    change(new UpstreamRecord(former.announcement(), self, sequence, UpstreamState.GONE), output);
  }

  private static boolean differs(Announcement one, Announcement other) {
    return !UpstreamTable.withLoad(one, LoadReport.IDLE)
        .equals(UpstreamTable.withLoad(other, LoadReport.IDLE));
  }

  private static long nextSequence(@Nullable UpstreamRecord known, Instant now) {
    // The time makes a daemon that restarted and forgot its numbers go on above them.
    long next = known == null ? 0 : known.sequence() + 1;
    return Math.max(next, now.toEpochMilli());
  }

  private void change(UpstreamRecord record, Output output) {
    table.put(record);
    String what = "upstream." + record.state().name().toLowerCase(Locale.ROOT);
    String detail = record.announcement().leaving() ? "leaving" : "";
    output.effect(
        new TraceEffect.LogLine(
            false, "directory", record.id() + " is " + record.state() + " " + detail));
    output.effect(new TraceEffect.Count("upstream_changes", what, 1));
  }

  private void dropSilent(Instant now, Output output) {
    Instant since = now.minus(settings.silence());
    List<String> silent = new ArrayList<>();
    for (Map.Entry<String, Instant> heard : lastHeard.entrySet()) {
      if (heard.getValue().isBefore(since)) {
        silent.add(heard.getKey());
      }
    }
    for (String id : silent) {
      lastHeard.remove(id);
      UpstreamRecord known = table.get(id);
      if (known != null && known.state() == UpstreamState.LIVE) {
        long sequence = nextSequence(known, now);
        change(
            new UpstreamRecord(known.announcement(), self, sequence, UpstreamState.LOST), output);
      }
    }
  }
}
