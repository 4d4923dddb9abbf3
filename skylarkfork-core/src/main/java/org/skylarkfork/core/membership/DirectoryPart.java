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
 * Receives the announcements of upstreams, disseminates changes and maintains the directory of live
 * upstreams.
 *
 * <p>The daemon that receives an upstream's announcements owns the upstream: only the owner detects
 * missing heartbeats and sends changes to the others. Heartbeats aren't forwarded, and loads are
 * sent only to daemons that use the upstream.
 */
public final class DirectoryPart implements Part, UpstreamDirectory {

  private static final int MAX_FORWARDS_BEFORE_TAKEOVER = 3;

  private final Members members;
  private final ConfigurationView configuration;
  private final DirectorySettings settings;
  private final UpstreamTable table;
  private final ChangeDisseminator disseminator;
  private final DirectoryAntiEntropy antiEntropy;
  private final LoadSubscriptions loadSubscriptions;
  private final Map<String, Instant> heartbeatDeadlines = new TreeMap<>();
  private final Map<String, Instant> orphanDeadlines = new TreeMap<>();
  private final Map<String, Instant> removalTimes = new TreeMap<>();
  private final Map<String, Instant> leavingSince = new HashMap<>();
  private final Map<String, Integer> forwardCounts = new HashMap<>();

  /**
   * Creates an empty directory.
   *
   * @param members the live daemons; their part must precede this one in the reducer
   * @param configuration provides the drained upstreams
   * @param settings settings of the directory
   * @param seed seed of the random choices
   */
  public DirectoryPart(
      Members members, ConfigurationView configuration, DirectorySettings settings, long seed) {
    this.members = members;
    this.configuration = configuration;
    this.settings = settings;
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    table = new UpstreamTable(self(), members.self().zone(), settings.subsetSize());
    disseminator = new ChangeDisseminator(members, settings, random);
    antiEntropy = new DirectoryAntiEntropy(members, settings, table, random);
    loadSubscriptions = new LoadSubscriptions(members, settings, table);
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof UpstreamEvent.Announced announced) {
      onAnnouncement(announced.announcement(), true, now, output);
    } else if (event instanceof LifecycleEvent.Tick) {
      tick(now, output);
    } else if (event instanceof MembershipEvent membership) {
      memberChanged(membership, now);
    } else if (event instanceof PeerEvent.MessageReceived received
        && received.message() instanceof DirectoryMessage message) {
      onMessage(received.node(), message, now, output);
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

  /** Returns the interval at which upstreams must send announcements to this daemon. */
  public Duration announceInterval() {
    Duration sustainableInterval =
        Duration.ofSeconds(1)
            .multipliedBy(heartbeatDeadlines.size())
            .dividedBy(settings.maxHeartbeatsPerSecond());
    return sustainableInterval.compareTo(settings.announceInterval()) > 0
        ? sustainableInterval
        : settings.announceInterval();
  }

  private Duration heartbeatTimeout() {
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
    for (String id : removeDue(heartbeatDeadlines, now)) {
      markLost(id, now, output);
    }
    for (String id : removeDue(orphanDeadlines, now)) {
      markOrphanLost(id, now, output);
    }
    for (String id : removeDue(removalTimes, now)) {
      table.remove(id);
    }
    disseminator.tick(now, output);
    antiEntropy.tick(now, output);
    loadSubscriptions.tick(now, output);
  }

  private static List<String> removeDue(Map<String, Instant> times, Instant now) {
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

  private void onMessage(String node, DirectoryMessage message, Instant now, Output output) {
    if (message instanceof DirectoryMessage.Changes changes) {
      List<UpstreamRecord> newRecords = new ArrayList<>();
      for (UpstreamRecord record : changes.records()) {
        if (merge(record, now, output)) {
          newRecords.add(record);
        }
      }
      if (changes.forward() && !newRecords.isEmpty()) {
        disseminator.forward(newRecords, node, output);
      }
    } else if (message instanceof DirectoryMessage.Heard received) {
      onAnnouncement(received.announcement(), false, now, output);
    } else if (message instanceof DirectoryMessage.RootHash root) {
      antiEntropy.onRootHash(node, root, output);
    } else if (message instanceof DirectoryMessage.BucketHashes hashes) {
      antiEntropy.onBucketHashes(node, hashes, output);
    } else if (message instanceof DirectoryMessage.BucketVersions versions) {
      antiEntropy.onBucketVersions(node, versions, output);
    } else if (message instanceof DirectoryMessage.Wanted wanted) {
      antiEntropy.onWanted(node, wanted, output);
    } else if (message instanceof DirectoryMessage.FollowLoads follow) {
      loadSubscriptions.onSubscription(node, follow, now);
    } else if (message instanceof DirectoryMessage.Loads loads) {
      loadSubscriptions.onLoads(loads);
    }
  }

  private void onAnnouncement(Announcement received, boolean directly, Instant now, Output output) {
    UpstreamRecord known = table.get(received.id());
    if (known != null && isLate(received, known)) {
      output.effect(new TraceEffect.Count("announcements_late", "", 1));
      return;
    }
    Announcement announcement = retainLeaving(received, known, now);
    UpstreamState state = announcement.gone() ? UpstreamState.GONE : UpstreamState.LIVE;
    boolean same =
        known != null && known.state() == state && !differs(announcement, known.announcement());
    if (same && directly && isForwardedToOwner(known)) {
      output.effect(
          new PeerEffect.SendToPeer(known.owner(), new DirectoryMessage.Heard(announcement)));
      return;
    }
    endFormerUpstreamAt(announcement, now, output);
    forwardCounts.remove(announcement.id());
    // After a restart, a daemon receives its own earlier records from others. A new record shows
    // them that it receives the upstream's announcements again.
    boolean owned =
        known != null
            && known.owner().equals(self())
            && heartbeatDeadlines.containsKey(announcement.id());
    if (same && owned) {
      table.putLoad(announcement.id(), announcement.load());
    } else {
      publishChange(announcement, state, nextSequence(known, now), now, output);
    }
    if (state == UpstreamState.LIVE) {
      heartbeatDeadlines.put(announcement.id(), now.plus(heartbeatTimeout()));
    }
  }

  private static boolean isLate(Announcement announcement, UpstreamRecord known) {
    long newest = known.announcement().incarnation();
    // A heartbeat that was in transit when its process ended would restore the upstream.
    return announcement.incarnation() < newest
        || announcement.incarnation() == newest && known.state() == UpstreamState.GONE;
  }

  /**
   * Keeps an upstream leaving for one heartbeat timeout, since announcements may arrive out of
   * order.
   */
  private Announcement retainLeaving(
      Announcement announcement, @Nullable UpstreamRecord known, Instant now) {
    boolean wasLeaving =
        known != null
            && known.announcement().leaving()
            && known.announcement().incarnation() == announcement.incarnation();
    if (announcement.leaving() || !wasLeaving) {
      if (announcement.leaving()) {
        leavingSince.put(announcement.id(), now);
      }
      return announcement;
    }
    Instant since = leavingSince.getOrDefault(announcement.id(), Instant.MIN);
    return now.isBefore(since.plus(heartbeatTimeout()))
        ? UpstreamTable.asLeaving(announcement)
        : announcement;
  }

  /**
   * Returns whether the announcement is forwarded to the owner, because another healthy daemon owns
   * the upstream.
   */
  private boolean isForwardedToOwner(UpstreamRecord known) {
    String owner = known.owner();
    if (owner.equals(self()) || isOrphan(known) || members.isSuspected(owner)) {
      return false;
    }
    return forwardCounts.merge(known.id(), 1, Integer::sum) <= MAX_FORWARDS_BEFORE_TAKEOVER;
  }

  /**
   * Marks an earlier upstream at the same address as gone, since two processes can't share an
   * address.
   */
  private void endFormerUpstreamAt(Announcement announcement, Instant now, Output output) {
    UpstreamRecord previous = table.findByAddress(announcement.host(), announcement.port());
    if (previous != null && !previous.id().equals(announcement.id())) {
      long sequence = nextSequence(previous, now);
      publishChange(previous.announcement(), UpstreamState.GONE, sequence, now, output);
    }
  }

  private static boolean differs(Announcement one, Announcement other) {
    return !UpstreamTable.withLoad(one, LoadReport.IDLE)
        .equals(UpstreamTable.withLoad(other, LoadReport.IDLE));
  }

  private static long nextSequence(@Nullable UpstreamRecord known, Instant now) {
    // Based on the time, so that a restarted daemon continues above its earlier sequence numbers.
    long next = known == null ? 0 : known.sequence() + 1;
    return Math.max(next, now.toEpochMilli());
  }

  /** Creates a new record with this daemon as the owner and disseminates it. */
  private void publishChange(
      Announcement announcement, UpstreamState state, long sequence, Instant now, Output output) {
    Announcement kept = UpstreamTable.withLoad(announcement, announcement.load());
    long incarnation = members.self().incarnation();
    UpstreamRecord record = new UpstreamRecord(kept, self(), incarnation, sequence, state);
    put(record, now, output);
    disseminator.add(record);
  }

  /** Merges a record from another daemon and returns whether it contained new information. */
  private boolean merge(UpstreamRecord record, Instant now, Output output) {
    if (!isNewInformation(record, table.get(record.id()))) {
      return false;
    }
    UpstreamRecord previous =
        table.findByAddress(record.announcement().host(), record.announcement().port());
    boolean live = record.state() == UpstreamState.LIVE;
    if (live && previous != null && !previous.id().equals(record.id())) {
      if (previous.sequence() > record.sequence()) {
        return false;
      }
      put(previous.with(UpstreamState.GONE), now, output);
    }
    if (!record.owner().equals(self())) {
      heartbeatDeadlines.remove(record.id());
    }
    forwardCounts.remove(record.id());
    put(record, now, output);
    if (live && isOrphan(record)) {
      orphanDeadlines.put(record.id(), now.plus(heartbeatTimeout()));
    }
    return true;
  }

  private boolean isNewInformation(UpstreamRecord record, @Nullable UpstreamRecord known) {
    if (known == null) {
      return record.state() == UpstreamState.LIVE;
    }
    // The owner still has the same live record if the upstream was marked lost here while the owner
    // was wrongly considered dead.
    boolean wronglyMarkedLost =
        known.state() == UpstreamState.LOST
            && known.sequence() == record.sequence()
            && known.owner().equals(record.owner())
            && record.state() == UpstreamState.LIVE
            && !isOrphan(record);
    return wronglyMarkedLost || record.isNewerThan(known);
  }

  /** Returns whether no known running process receives the upstream's announcements. */
  private boolean isOrphan(UpstreamRecord record) {
    boolean ownerRuns =
        members
            .find(record.owner())
            .filter(owner -> owner.incarnation() == record.ownerIncarnation())
            .isPresent();
    boolean ownedHere = record.owner().equals(self());
    return !ownerRuns || ownedHere && !heartbeatDeadlines.containsKey(record.id());
  }

  private void put(UpstreamRecord record, Instant now, Output output) {
    final UpstreamRecord known = table.get(record.id());
    table.put(record);
    orphanDeadlines.remove(record.id());
    removalTimes.remove(record.id());
    if (record.state() != UpstreamState.LIVE) {
      heartbeatDeadlines.remove(record.id());
      leavingSince.remove(record.id());
      forwardCounts.remove(record.id());
      removalTimes.put(record.id(), now.plus(settings.upstreamRetention()));
    }
    logStateChange(record, known, output);
  }

  private void logStateChange(
      UpstreamRecord record, @Nullable UpstreamRecord known, Output output) {
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

  private void markLost(String id, Instant now, Output output) {
    UpstreamRecord known = table.get(id);
    if (known != null && known.state() == UpstreamState.LIVE) {
      long sequence = nextSequence(known, now);
      publishChange(known.announcement(), UpstreamState.LOST, sequence, now, output);
    }
  }

  private void markOrphanLost(String id, Instant now, Output output) {
    UpstreamRecord known = table.get(id);
    if (known == null || known.state() != UpstreamState.LIVE || !isOrphan(known)) {
      return;
    }
    if (known.owner().equals(self())) {
      markLost(id, now, output);
    } else {
      // No owner is left to disseminate the loss, so each daemon marks the upstream lost locally,
      // and any new record overrides that.
      put(known.with(UpstreamState.LOST), now, output);
    }
  }

  private void memberChanged(MembershipEvent event, Instant now) {
    if (event instanceof MembershipEvent.MemberJoined joined) {
      antiEntropy.accelerate();
      startOrphanDeadlines(joined.member().name(), now);
    } else if (event instanceof MembershipEvent.MemberDied died) {
      startOrphanDeadlines(died.member().name(), now);
    } else if (event instanceof MembershipEvent.MemberLeft left) {
      startOrphanDeadlines(left.member().name(), now);
    }
  }

  /**
   * Sets a deadline for the upstreams of a daemon that no longer receives their announcements:
   * another daemon must receive one before the deadline.
   */
  private void startOrphanDeadlines(String owner, Instant now) {
    Instant until = now.plus(heartbeatTimeout()).plus(settings.announceInterval());
    for (UpstreamRecord record : table.all()) {
      boolean live = record.state() == UpstreamState.LIVE;
      if (live && record.owner().equals(owner) && isOrphan(record)) {
        orphanDeadlines.putIfAbsent(record.id(), until);
      }
    }
  }
}
