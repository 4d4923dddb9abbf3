package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.message.RelayMessage.DirectoryChanges;
import org.skylarkfork.core.upstream.UpstreamRun;

/** The upstreams that are known to a control VM, with a sequence number for each change. */
final class UpstreamRegistry {

  private static final int MAX_SUPERSEDED = 4096;

  /**
   * Minimum change of the end of a cold period that is sent to entries; message delay makes two
   * heartbeats report the same end with a difference.
   */
  private static final Duration COLD_STEP = Duration.ofMillis(300);

  private final RelayTimings times;
  private final Map<String, Registration> byId = new LinkedHashMap<>();
  private final Map<String, String> idByAddress = new HashMap<>();
  private final Map<String, UpstreamRun> superseded = new HashMap<>();
  private final Map<String, Instant> zoneColdUntil = new HashMap<>();
  private long sequence;

  UpstreamRegistry(RelayTimings times) {
    this.times = times;
  }

  /**
   * Records a heartbeat.
   *
   * <p>A delayed heartbeat can arrive after its sender has crashed and another upstream has taken
   * the address. If it were accepted, that upstream would receive the requests of another service,
   * so a run that lost its address never gets it back. A later run of the same id may get it: it is
   * another process, to which no state of the earlier run applies.
   */
  void recordHeartbeat(UpstreamInstance instance, boolean leaving, Instant now) {
    if (isSuperseded(instance.run())) {
      return;
    }
    Registration current = byId.get(instance.id());
    if (current != null && !instance.isNewerThan(current.instance())) {
      return;
    }
    if (!claimAddress(instance, current)) {
      return;
    }
    boolean sameRun = current != null && current.instance().run().equals(instance.run());
    boolean wasLeaving = sameRun && current.condition == UpstreamCondition.LEAVING;
    UpstreamCondition condition =
        leaving || wasLeaving ? UpstreamCondition.LEAVING : UpstreamCondition.READY;
    Registration registration = current == null ? new Registration() : current;
    Instant coldUntil = now.plusMillis(instance.coldMillis());
    boolean cold = sameRun && isColdChanged(current.coldUntil, coldUntil, now);
    if (!sameRun || current.condition != condition || cold) {
      registration.changedAt = ++sequence;
    }
    if (!sameRun) {
      registration.clearLimit();
    }
    registration.instance = instance;
    registration.coldUntil = coldUntil;
    registration.lastHeartbeat = now;
    registration.condition = condition;
    byId.put(instance.id(), registration);
  }

  /**
   * Records a rate limit that an upstream reported to an entry; the newest report applies.
   *
   * @param run the run of the upstream
   * @param reported the reported limit
   * @param entryName the entry that received the limit with an answer
   * @param now the present time
   * @return whether the change must be sent to entries
   */
  boolean recordRateLimit(UpstreamRun run, ReportedLimit reported, String entryName, Instant now) {
    if (!isRegistered(run)) {
      return false;
    }
    Registration registration = byId.get(run.id());
    if (!registration.rate.updateIfNewer(reported, now)
        || reported.limit().isNear(registration.sentLimit)) {
      return false;
    }
    registration.sentLimit = reported.limit();
    registration.limitReportedTo = entryName;
    registration.limitSince = registration.rate.reportedAt();
    registration.changedAt = ++sequence;
    return true;
  }

  /** Returns whether a run of an upstream is the newest that is known under its id. */
  boolean isRegistered(UpstreamRun run) {
    Registration registration = byId.get(run.id());
    return registration != null && registration.instance().run().equals(run);
  }

  /** Returns the upstreams that report a rate limit. */
  List<LimitedUpstream> limitedUpstreams() {
    return byId.values().stream()
        .filter(registration -> registration.rate.limit().isBounded())
        .map(
            registration ->
                new LimitedUpstream(
                    registration.instance().id(),
                    registration.instance().service(),
                    registration.instance().address(),
                    registration.rate.limit().perSecond(),
                    registration.limitSince,
                    registration.limitReportedTo))
        .toList();
  }

  /** Returns whether two ends of a cold period differ enough to be sent to entries. */
  private static boolean isColdChanged(Instant before, Instant after, Instant now) {
    boolean relevant = before.isAfter(now) || after.isAfter(now);
    return relevant && Duration.between(before, after).abs().compareTo(COLD_STEP) > 0;
  }

  private boolean isSuperseded(UpstreamRun run) {
    UpstreamRun supersededRun = superseded.get(run.id());
    return supersededRun != null && supersededRun.covers(run);
  }

  /** Assigns an address to its youngest holder; returns whether that is the given instance. */
  private boolean claimAddress(UpstreamInstance instance, @Nullable Registration current) {
    String holder = idByAddress.get(instance.address());
    Registration holderRegistration =
        holder == null || holder.equals(instance.id()) ? null : byId.get(holder);
    if (holderRegistration != null && holderRegistration.startedAfter(instance)) {
      supersede(instance.run());
      return false;
    }
    if (holderRegistration != null) {
      supersede(holderRegistration.instance().run());
      markLeaving(holderRegistration.instance().run());
    }
    if (current != null) {
      idByAddress.remove(current.instance().address(), instance.id());
    }
    idByAddress.put(instance.address(), instance.id());
    return true;
  }

  private void supersede(UpstreamRun run) {
    if (superseded.size() < MAX_SUPERSEDED) {
      superseded.put(run.id(), run);
    }
  }

  /**
   * Marks a run of an upstream, and each run before it, as leaving, so that it gets no new
   * requests.
   */
  void markLeaving(UpstreamRun run) {
    Registration registration = byId.get(run.id());
    boolean matches = registration != null && run.covers(registration.instance().run());
    if (matches && registration.condition != UpstreamCondition.LEAVING) {
      registration.condition = UpstreamCondition.LEAVING;
      registration.changedAt = ++sequence;
    }
  }

  /**
   * Restores an availability zone after an evacuation.
   *
   * <p>Its upstreams may have turned cold shortly before, which their heartbeats report up to a
   * second too late. Full load until then would overload them, so they count as cold.
   *
   * @param zone the availability zone
   * @param coldMillis time for which its upstreams count as cold, in milliseconds
   * @param now the present time
   */
  void restoreZone(String zone, long coldMillis, Instant now) {
    zoneColdUntil.put(zone, now.plusMillis(coldMillis));
    for (Registration registration : byId.values()) {
      if (registration.instance().zone().equals(zone)) {
        registration.changedAt = ++sequence;
      }
    }
  }

  /** Marks upstreams whose heartbeats have timed out and removes expired ones. */
  void tick(Instant now) {
    Iterator<Registration> registrations = byId.values().iterator();
    while (registrations.hasNext()) {
      Registration registration = registrations.next();
      if (now.isAfter(registration.lastHeartbeat.plus(times.upstreamExpiry()))) {
        idByAddress.remove(registration.instance().address(), registration.instance().id());
        registrations.remove();
      } else if (registration.condition == UpstreamCondition.READY
          && now.isAfter(registration.lastHeartbeat.plus(times.upstreamTimeout()))) {
        registration.condition = UpstreamCondition.SILENT;
        registration.changedAt = ++sequence;
      }
    }
  }

  long sequence() {
    return sequence;
  }

  /**
   * Returns the number of ready upstreams of the largest version of a service.
   *
   * <p>During a roll-out there are twice as many upstreams. Each version is counted separately, so
   * that the number does not seem to have doubled.
   */
  int largestPool() {
    Map<String, Integer> pools = new HashMap<>();
    for (Registration registration : byId.values()) {
      if (registration.condition == UpstreamCondition.READY) {
        UpstreamInstance instance = registration.instance();
        pools.merge(instance.service() + '/' + instance.version(), 1, Integer::sum);
      }
    }
    return pools.values().stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  List<UpstreamStatus> all(Instant now) {
    return statuses(0, now);
  }

  private List<UpstreamStatus> statuses(long after, Instant now) {
    List<Registration> changed = new ArrayList<>();
    for (Registration registration : byId.values()) {
      if (registration.changedAt > after) {
        changed.add(registration);
      }
    }
    changed.sort(Comparator.comparingLong(registration -> registration.changedAt));
    return changed.stream()
        .map(
            registration ->
                new UpstreamStatus(
                    instanceAt(registration, now),
                    registration.condition,
                    registration.rate.toReport(now)))
        .toList();
  }

  /**
   * Returns an upstream with the remaining cold time of itself or of its zone, whichever is longer.
   */
  private UpstreamInstance instanceAt(Registration registration, Instant now) {
    UpstreamInstance instance = registration.instance();
    Instant zoneCold = zoneColdUntil.getOrDefault(instance.zone(), Instant.EPOCH);
    Instant until = registration.coldUntil.isAfter(zoneCold) ? registration.coldUntil : zoneCold;
    return instance.withColdMillis(Math.max(0, Duration.between(now, until).toMillis()));
  }

  /** Returns the changes that an entry with a given epoch and sequence number lacks. */
  DirectoryChanges changes(
      long epoch, boolean settled, long knownEpoch, long knownSequence, Instant now) {
    boolean whole = knownEpoch != epoch;
    return new DirectoryChanges(
        epoch, sequence, whole, settled, statuses(whole ? 0 : knownSequence, now));
  }

  private static final class Registration {
    private @Nullable UpstreamInstance instance;
    private Instant lastHeartbeat = Instant.EPOCH;
    private UpstreamCondition condition = UpstreamCondition.READY;
    private Instant coldUntil = Instant.EPOCH;
    private long changedAt;
    private TrackedRateLimit rate = new TrackedRateLimit();
    private RateLimit sentLimit = RateLimit.NONE;
    private Instant limitSince = Instant.EPOCH;
    private String limitReportedTo = "";

    private void clearLimit() {
      rate = new TrackedRateLimit();
      sentLimit = RateLimit.NONE;
    }

    private boolean startedAfter(UpstreamInstance other) {
      return instance().bornMillis() > other.bornMillis();
    }

    private UpstreamInstance instance() {
      if (instance == null) {
        throw new IllegalStateException(
            "a registration has an instance only after its first heartbeat");
      }
      return instance;
    }
  }
}
