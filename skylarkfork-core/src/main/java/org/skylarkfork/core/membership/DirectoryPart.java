package org.skylarkfork.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.MembershipEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.message.DirectoryMessage;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.LoadReport;
import org.skylarkfork.core.upstream.UpstreamDirectory;
import org.skylarkfork.core.upstream.UpstreamRecord;
import org.skylarkfork.core.upstream.UpstreamState;

/**
 * Takes upstreams' announcements, spreads them and keeps the directory of those that are there.
 *
 * <p>The daemon that hears an upstream owns it: it alone times its silence and tells the others
 * what changes. Heartbeats stay with the owner, and loads go only to daemons that use the upstream.
 */
public final class DirectoryPart implements Part, UpstreamDirectory {

  private static final int FORWARDS_BEFORE_TAKEOVER = 3;

  private final Members members;
  private final ConfigurationView configuration;
  private final DirectorySettings settings;
  private final UpstreamTable table;
  private final ChangeSpreader spreader;
  private final TableComparison comparison;
  private final LoadFeed loads;
  private final Map<String, Instant> silentAt = new TreeMap<>();
  private final Map<String, Instant> orphanedUntil = new TreeMap<>();
  private final Map<String, Instant> forgetAt = new TreeMap<>();
  private final Map<String, Instant> leavingSince = new HashMap<>();
  private final Map<String, Integer> forwarded = new HashMap<>();

  /**
   * Makes an empty directory.
   *
   * @param members the daemons; their part stands before this one in the reducer
   * @param configuration says which upstreams are drained
   * @param settings how it works
   * @param seed seed of the random choices
   */
  public DirectoryPart(
      Members members, ConfigurationView configuration, DirectorySettings settings, long seed) {
    this.members = members;
    this.configuration = configuration;
    this.settings = settings;
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    table = new UpstreamTable(self(), members.self().zone(), settings.subsetSize());
    spreader = new ChangeSpreader(members, settings, random);
    comparison = new TableComparison(members, settings, table, random);
    loads = new LoadFeed(members, settings, table);
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof UpstreamEvent.Announced announced) {
      announced(announced.announcement(), true, now, output);
    } else if (event instanceof LifecycleEvent.Tick) {
      tick(now, output);
    } else if (event instanceof MembershipEvent membership) {
      memberChanged(membership, now);
    } else if (event instanceof PeerEvent.MessageReceived received
        && received.message() instanceof DirectoryMessage message) {
      received(received.node(), message, now, output);
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

  /** Returns the time after which an upstream that announces itself here is to do so again. */
  public Duration announceInterval() {
    Duration affordable =
        Duration.ofSeconds(1)
            .multipliedBy(silentAt.size())
            .dividedBy(settings.maxHeartbeatsPerSecond());
    return affordable.compareTo(settings.announceInterval()) > 0
        ? affordable
        : settings.announceInterval();
  }

  private Duration silence() {
    return announceInterval().multipliedBy(settings.maxMissedHeartbeats());
  }

  private String self() {
    return members.self().name();
  }

  private List<Announcement> withoutDrained(List<Announcement> upstreams) {
    List<String> drained = configuration.current().drainedUpstreams();
    if (drained.isEmpty()) {
      return upstreams;
    }
    return upstreams.stream().filter(upstream -> !drained.contains(upstream.id())).toList();
  }

  private void tick(Instant now, Output output) {
    for (String id : due(silentAt, now)) {
      lose(id, now, output);
    }
    for (String id : due(orphanedUntil, now)) {
      loseOrphan(id, now, output);
    }
    for (String id : due(forgetAt, now)) {
      table.remove(id);
    }
    spreader.tick(now, output);
    comparison.tick(now, output);
    loads.tick(now, output);
  }

  private static List<String> due(Map<String, Instant> times, Instant now) {
    List<String> due = new ArrayList<>();
    times.forEach(
        (id, time) -> {
          if (!now.isBefore(time)) {
            due.add(id);
          }
        });
    times.keySet().removeAll(due);
    return due;
  }

  private void received(String node, DirectoryMessage message, Instant now, Output output) {
    if (message instanceof DirectoryMessage.Changes changes) {
      List<UpstreamRecord> news = new ArrayList<>();
      for (UpstreamRecord record : changes.records()) {
        if (merge(record, now, output)) {
          news.add(record);
        }
      }
      if (changes.forward() && !news.isEmpty()) {
        spreader.forward(news, node, output);
      }
    } else if (message instanceof DirectoryMessage.Heard heard) {
      announced(heard.announcement(), false, now, output);
    } else if (message instanceof DirectoryMessage.RootHash root) {
      comparison.rootHash(node, root, output);
    } else if (message instanceof DirectoryMessage.BucketHashes hashes) {
      comparison.bucketHashes(node, hashes, output);
    } else if (message instanceof DirectoryMessage.BucketVersions versions) {
      comparison.bucketVersions(node, versions, output);
    } else if (message instanceof DirectoryMessage.Wanted wanted) {
      comparison.wanted(node, wanted, output);
    } else if (message instanceof DirectoryMessage.FollowLoads follow) {
      loads.follow(node, follow, now);
    } else if (message instanceof DirectoryMessage.Loads told) {
      loads.loads(told);
    }
  }

  private void announced(Announcement heard, boolean directly, Instant now, Output output) {
    UpstreamRecord known = table.get(heard.id());
    if (known != null && isLate(heard, known)) {
      output.effect(new TraceEffect.Count("announcements_late", "", 1));
      return;
    }
    Announcement said = keepLeaving(heard, known, now);
    UpstreamState state = said.gone() ? UpstreamState.GONE : UpstreamState.LIVE;
    boolean same = known != null && known.state() == state && !differs(said, known.announcement());
    if (same && directly && isLeftToOwner(known)) {
      output.effect(new PeerEffect.SendToPeer(known.owner(), new DirectoryMessage.Heard(said)));
      return;
    }
    retireFormerAt(said, now, output);
    forwarded.remove(said.id());
    // A daemon that restarted finds its own records at others; by a new one they see it hears
    // again.
    boolean owned =
        known != null && known.owner().equals(self()) && silentAt.containsKey(said.id());
    if (same && owned) {
      table.putLoad(said.id(), said.load());
    } else {
      change(said, state, nextSequence(known, now), now, output);
    }
    if (state == UpstreamState.LIVE) {
      silentAt.put(said.id(), now.plus(silence()));
    }
  }

  private static boolean isLate(Announcement said, UpstreamRecord known) {
    long newest = known.announcement().incarnation();
    // A heartbeat that was under way while its process ended would bring the upstream back.
    return said.incarnation() < newest
        || said.incarnation() == newest && known.state() == UpstreamState.GONE;
  }

  /** Keeps an upstream leaving for a while, since heartbeats may cross on their ways. */
  private Announcement keepLeaving(Announcement said, @Nullable UpstreamRecord known, Instant now) {
    boolean wasLeaving =
        known != null
            && known.announcement().leaving()
            && known.announcement().incarnation() == said.incarnation();
    if (said.leaving() || !wasLeaving) {
      if (said.leaving()) {
        leavingSince.put(said.id(), now);
      }
      return said;
    }
    Instant since = leavingSince.getOrDefault(said.id(), Instant.MIN);
    return now.isBefore(since.plus(silence())) ? UpstreamTable.asLeaving(said) : said;
  }

  /** Returns whether another daemon that is well owns the upstream, so that it is to be told. */
  private boolean isLeftToOwner(UpstreamRecord known) {
    String owner = known.owner();
    if (owner.equals(self()) || isOrphan(known) || members.isSuspected(owner)) {
      return false;
    }
    return forwarded.merge(known.id(), 1, Integer::sum) <= FORWARDS_BEFORE_TAKEOVER;
  }

  /** Two processes can't listen at one address, so the newer ends the record of the older. */
  private void retireFormerAt(Announcement said, Instant now, Output output) {
    UpstreamRecord former = table.atAddress(said.host(), said.port());
    if (former != null && !former.id().equals(said.id())) {
      long sequence = nextSequence(former, now);
      change(former.announcement(), UpstreamState.GONE, sequence, now, output);
    }
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

  /** Makes this daemon the owner of a new record. */
  private void change(
      Announcement said, UpstreamState state, long sequence, Instant now, Output output) {
    Announcement kept = UpstreamTable.withLoad(said, said.load());
    long incarnation = members.self().incarnation();
    UpstreamRecord record = new UpstreamRecord(kept, self(), incarnation, sequence, state);
    put(record, now, output);
    spreader.add(record);
  }

  /** Takes a record from another daemon and returns whether it was news. */
  private boolean merge(UpstreamRecord record, Instant now, Output output) {
    if (!isNews(record, table.get(record.id()))) {
      return false;
    }
    UpstreamRecord former =
        table.atAddress(record.announcement().host(), record.announcement().port());
    boolean live = record.state() == UpstreamState.LIVE;
    if (live && former != null && !former.id().equals(record.id())) {
      if (former.sequence() > record.sequence()) {
        return false;
      }
      put(former.with(UpstreamState.GONE), now, output);
    }
    if (!record.owner().equals(self())) {
      silentAt.remove(record.id());
    }
    forwarded.remove(record.id());
    put(record, now, output);
    if (live && isOrphan(record)) {
      orphanedUntil.put(record.id(), now.plus(silence()));
    }
    return true;
  }

  private boolean isNews(UpstreamRecord record, @Nullable UpstreamRecord known) {
    if (known == null) {
      return record.state() == UpstreamState.LIVE;
    }
    // An upstream dropped here while its owner seemed dead has the same record at the owner.
    boolean wronglyDropped =
        known.state() == UpstreamState.LOST
            && known.sequence() == record.sequence()
            && known.owner().equals(record.owner())
            && record.state() == UpstreamState.LIVE
            && !isOrphan(record);
    return wronglyDropped || record.isNewerThan(known);
  }

  /** Returns whether no running process that this daemon knows of hears the upstream. */
  private boolean isOrphan(UpstreamRecord record) {
    boolean ownerRuns =
        members
            .find(record.owner())
            .filter(owner -> owner.incarnation() == record.ownerIncarnation())
            .isPresent();
    boolean mine = record.owner().equals(self());
    return !ownerRuns || mine && !silentAt.containsKey(record.id());
  }

  private void put(UpstreamRecord record, Instant now, Output output) {
    final UpstreamRecord known = table.get(record.id());
    table.put(record);
    orphanedUntil.remove(record.id());
    forgetAt.remove(record.id());
    if (record.state() != UpstreamState.LIVE) {
      silentAt.remove(record.id());
      leavingSince.remove(record.id());
      forwarded.remove(record.id());
      forgetAt.put(record.id(), now.plus(settings.upstreamRetention()));
    }
    note(record, known, output);
  }

  private void note(UpstreamRecord record, @Nullable UpstreamRecord known, Output output) {
    String now = stateName(record);
    if (known == null || !stateName(known).equals(now)) {
      String sentence = record.id() + " is " + now + ", says " + record.owner();
      output.effect(new TraceEffect.LogLine(false, "directory", sentence));
      output.effect(new TraceEffect.Count("upstream_changes", now, 1));
    }
  }

  private static String stateName(UpstreamRecord record) {
    boolean leaving = record.state() == UpstreamState.LIVE && record.announcement().leaving();
    return leaving ? "leaving" : record.state().name().toLowerCase(Locale.ROOT);
  }

  private void lose(String id, Instant now, Output output) {
    UpstreamRecord known = table.get(id);
    if (known != null && known.state() == UpstreamState.LIVE) {
      long sequence = nextSequence(known, now);
      change(known.announcement(), UpstreamState.LOST, sequence, now, output);
    }
  }

  private void loseOrphan(String id, Instant now, Output output) {
    UpstreamRecord known = table.get(id);
    if (known == null || known.state() != UpstreamState.LIVE || !isOrphan(known)) {
      return;
    }
    if (known.owner().equals(self())) {
      lose(id, now, output);
    } else {
      // Nobody can speak for it, so each daemon drops it by itself and any new record prevails.
      put(known.with(UpstreamState.LOST), now, output);
    }
  }

  private void memberChanged(MembershipEvent event, Instant now) {
    if (event instanceof MembershipEvent.MemberJoined joined) {
      comparison.hurry();
      orphan(joined.member().name(), now);
    } else if (event instanceof MembershipEvent.MemberDied died) {
      orphan(died.member().name(), now);
    } else if (event instanceof MembershipEvent.MemberLeft left) {
      orphan(left.member().name(), now);
    }
  }

  /** Gives the upstreams of a daemon that hears them no more time to be heard by another. */
  private void orphan(String owner, Instant now) {
    Instant until = now.plus(silence()).plus(settings.announceInterval());
    for (UpstreamRecord record : table.all()) {
      boolean live = record.state() == UpstreamState.LIVE;
      if (live && record.owner().equals(owner) && isOrphan(record)) {
        orphanedUntil.putIfAbsent(record.id(), until);
      }
    }
  }
}
