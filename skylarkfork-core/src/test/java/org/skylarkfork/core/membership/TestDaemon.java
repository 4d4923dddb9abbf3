package org.skylarkfork.core.membership;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.MembershipEvent;
import org.skylarkfork.core.event.SessionEvent;
import org.skylarkfork.core.session.SessionPart;
import org.skylarkfork.core.session.SessionSettings;
import org.skylarkfork.core.session.SessionTokens;
import org.skylarkfork.core.upstream.Announcement;

/** A daemon process in a {@link TestNetwork}. */
public final class TestDaemon {

  public final Member self;
  public final FixedConfiguration configuration = new FixedConfiguration();
  public final MembershipPart membership;
  public final EntryList entries;
  public final DirectoryPart directory;
  public final SessionPart sessions;
  public final List<String> resolved = new ArrayList<>();
  public final List<MembershipEvent> raised = new ArrayList<>();
  public final List<String> warnings = new ArrayList<>();
  public final Map<String, String> addressBook = new HashMap<>();
  public final Reducer reducer;
  public Duration sendDelay = Duration.ZERO;
  public Instant stalledUntil = Instant.MIN;
  public boolean running = true;

  TestDaemon(Member self, List<Seed> seeds, long seed) {
    this.self = self;
    membership = new MembershipPart(self, seeds, configuration, MembershipSettings.DEFAULT, seed);
    entries = new EntryList(membership, configuration, EntryListSettings.DEFAULT);
    directory = new DirectoryPart(membership, configuration, DirectorySettings.DEFAULT, seed);
    sessions =
        new SessionPart(
            membership,
            configuration,
            SessionSettings.DEFAULT,
            new SessionTokens(List.of("a secret shared by all entries".getBytes(UTF_8))));
    Part recorder = (event, now, output) -> record(event);
    reducer = new Reducer(List.of(membership, entries, directory, sessions, recorder));
  }

  void recordWarning(TraceEffect.LogLine line) {
    if (line.warning()) {
      warnings.add(line.sentence());
    }
  }

  List<String> liveNames() {
    return membership.live().stream().map(Member::name).toList();
  }

  List<String> listed(Instant now) {
    return entries.entries(now).entries().stream().map(EntryListing.Entry::name).toList();
  }

  List<String> engines(Instant now) {
    return directory.engines(Announcements.RULING, now).stream().map(Announcement::id).toList();
  }

  long deathsSeen() {
    return raised.stream().filter(event -> event instanceof MembershipEvent.MemberDied).count();
  }

  private void record(Event event) {
    if (event instanceof MembershipEvent membershipEvent) {
      raised.add(membershipEvent);
    }
    if (event instanceof SessionEvent.PinsResolved pins) {
      resolved.add(pins.requestId());
    }
    if (event instanceof LifecycleEvent.Ending) {
      running = false;
    }
  }
}
