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

/** The upstreams that a control VM has heard of, with a number for each change. */
final class UpstreamRegistry {

  private static final int MAX_SUPERSEDED = 4096;

  /**
   * Least change of the end of a cold time that entries are told of; two heartbeats tell the same
   * end with a difference by their ways.
   */
  private static final Duration COLD_STEP = Duration.ofMillis(300);

  private final RelayTimings times;
  private final Map<String, Entry> byId = new LinkedHashMap<>();
  private final Map<String, String> idByAddress = new HashMap<>();
  private final Map<String, UpstreamRun> superseded = new HashMap<>();
  private final Map<String, Instant> zoneColdUntil = new HashMap<>();
  private long sequence;

  UpstreamRegistry(RelayTimings times) {
    this.times = times;
  }

  /**
   * Takes note of a heartbeat.
   *
   * <p>A heartbeat that was held up can come after its sender has crashed and another upstream has
   * taken the address. Believed, it would send that upstream's address the work of another service,
   * so a start that lost its address never gets it back. A later start of the same id may: it is
   * another process, of which nothing that was known of the earlier one holds.
   */
  void recordHeartbeat(UpstreamInstance instance, boolean leaving, Instant now) {
    if (isSuperseded(instance.run())) {
      return;
    }
    Entry known = byId.get(instance.id());
    if (known != null && !instance.isNewerThan(known.instance())) {
      return;
    }
    if (!takeAddress(instance, known)) {
      return;
    }
    boolean sameRun = known != null && known.instance().run().equals(instance.run());
    boolean left = sameRun && known.condition == UpstreamCondition.LEAVING;
    UpstreamCondition condition =
        leaving || left ? UpstreamCondition.LEAVING : UpstreamCondition.READY;
    Entry entry = known == null ? new Entry() : known;
    Instant coldUntil = now.plusMillis(instance.coldMillis());
    boolean cold = sameRun && isOtherCold(known.coldUntil, coldUntil, now);
    if (!sameRun || known.condition != condition || cold) {
      entry.changedAt = ++sequence;
    }
    if (!sameRun) {
      entry.forgetLimit();
    }
    entry.instance = instance;
    entry.coldUntil = coldUntil;
    entry.lastHeard = now;
    entry.condition = condition;
    byId.put(instance.id(), entry);
  }

  /**
   * Takes note of what an upstream said of its rate limit to an entry; the newest word counts.
   *
   * @param run the start of the upstream
   * @param recordRateLimit what it said
   * @param by the entry that got that answer
   * @param now the present time
   * @return whether entries are to be told
   */
  boolean recordRateLimit(UpstreamRun run, ReportedLimit named, String by, Instant now) {
    Entry entry = byId.get(run.id());
    boolean meant = entry != null && entry.instance().run().equals(run);
    if (!meant || !entry.rate.updateIfNewer(named, now) || named.limit().isNear(entry.toldLimit)) {
      return false;
    }
    entry.toldLimit = named.limit();
    entry.limitBy = by;
    entry.limitSince = entry.rate.reportedAt();
    entry.changedAt = ++sequence;
    return true;
  }

  /** Returns the upstreams that name a rate limit. */
  List<LimitedUpstream> limitedUpstreams() {
    return byId.values().stream()
        .filter(entry -> entry.rate.limit().isBounded())
        .map(
            entry ->
                new LimitedUpstream(
                    entry.instance().id(),
                    entry.instance().service(),
                    entry.instance().address(),
                    entry.rate.limit().perSecond(),
                    entry.limitSince,
                    entry.limitBy))
        .toList();
  }

  /** Returns whether it makes a difference until when of two times an upstream is cold. */
  private static boolean isOtherCold(Instant before, Instant after, Instant now) {
    boolean matters = before.isAfter(now) || after.isAfter(now);
    return matters && Duration.between(before, after).abs().compareTo(COLD_STEP) > 0;
  }

  private boolean isSuperseded(UpstreamRun run) {
    UpstreamRun gone = superseded.get(run.id());
    return gone != null && gone.covers(run);
  }

  /** Gives an address to its newest holder; returns whether that is the one that was heard. */
  private boolean takeAddress(UpstreamInstance instance, @Nullable Entry known) {
    String holder = idByAddress.get(instance.address());
    Entry held = holder == null || holder.equals(instance.id()) ? null : byId.get(holder);
    if (held != null && held.isYoungerThan(instance)) {
      supersede(instance.run());
      return false;
    }
    if (held != null) {
      supersede(held.instance().run());
      markLeaving(held.instance().run());
    }
    if (known != null) {
      idByAddress.remove(known.instance().address(), instance.id());
    }
    idByAddress.put(instance.address(), instance.id());
    return true;
  }

  private void supersede(UpstreamRun run) {
    if (superseded.size() < MAX_SUPERSEDED) {
      superseded.put(run.id(), run);
    }
  }

  /** Takes note that a start of an upstream, and each one before it, gets no new work any more. */
  void markLeaving(UpstreamRun run) {
    Entry entry = byId.get(run.id());
    boolean meant = entry != null && run.covers(entry.instance().run());
    if (meant && entry.condition != UpstreamCondition.LEAVING) {
      entry.condition = UpstreamCondition.LEAVING;
      entry.changedAt = ++sequence;
    }
  }

  /**
   * Takes note that an availability zone gets work again after an evacuation.
   *
   * <p>Its upstreams may have turned cold shortly before, which their heartbeats tell up to a
   * second too late. Sent their share of the work until then, they would fall over.
   *
   * @param zone the availability zone
   * @param coldMillis how long they count as cold, in milliseconds
   * @param now the present time
   */
  void restoreZone(String zone, long coldMillis, Instant now) {
    zoneColdUntil.put(zone, now.plusMillis(coldMillis));
    for (Entry entry : byId.values()) {
      if (entry.instance().zone().equals(zone)) {
        entry.changedAt = ++sequence;
      }
    }
  }

  /** Marks upstreams that fell silent and forgets those that are long gone. */
  void tick(Instant now) {
    Iterator<Entry> entries = byId.values().iterator();
    while (entries.hasNext()) {
      Entry entry = entries.next();
      if (now.isAfter(entry.lastHeard.plus(times.upstreamExpiry()))) {
        idByAddress.remove(entry.instance().address(), entry.instance().id());
        entries.remove();
      } else if (entry.condition == UpstreamCondition.READY
          && now.isAfter(entry.lastHeard.plus(times.upstreamTimeout()))) {
        entry.condition = UpstreamCondition.SILENT;
        entry.changedAt = ++sequence;
      }
    }
  }

  long sequence() {
    return sequence;
  }

  /**
   * Returns how many upstreams the largest version of a service has that can be used.
   *
   * <p>While a roll-out is on there are twice as many upstreams; each version counts alone, so that
   * their number doesn't seem to have doubled.
   */
  int largestPool() {
    Map<String, Integer> pools = new HashMap<>();
    for (Entry entry : byId.values()) {
      if (entry.condition == UpstreamCondition.READY) {
        UpstreamInstance instance = entry.instance();
        pools.merge(instance.service() + '/' + instance.version(), 1, Integer::sum);
      }
    }
    return pools.values().stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  List<UpstreamStatus> all(Instant now) {
    return statuses(0, now);
  }

  private List<UpstreamStatus> statuses(long after, Instant now) {
    List<Entry> changed = new ArrayList<>();
    for (Entry entry : byId.values()) {
      if (entry.changedAt > after) {
        changed.add(entry);
      }
    }
    changed.sort(Comparator.comparingLong(entry -> entry.changedAt));
    return changed.stream()
        .map(
            entry ->
                new UpstreamStatus(toldAt(entry, now), entry.condition, entry.rate.toReport(now)))
        .toList();
  }

  /** Returns an upstream with what is left of its cold time, or of its zone's. */
  private UpstreamInstance toldAt(Entry entry, Instant now) {
    UpstreamInstance instance = entry.instance();
    Instant zoneCold = zoneColdUntil.getOrDefault(instance.zone(), Instant.EPOCH);
    Instant until = entry.coldUntil.isAfter(zoneCold) ? entry.coldUntil : zoneCold;
    return instance.withColdMillis(Math.max(0, Duration.between(now, until).toMillis()));
  }

  /** Returns what an entry lacks that has this much of the directory of the epoch. */
  DirectoryChanges changes(
      long epoch, boolean settled, long knownEpoch, long knownSequence, Instant now) {
    boolean whole = knownEpoch != epoch;
    return new DirectoryChanges(
        epoch, sequence, whole, settled, statuses(whole ? 0 : knownSequence, now));
  }

  private static final class Entry {
    private @Nullable UpstreamInstance instance;
    private Instant lastHeard = Instant.EPOCH;
    private UpstreamCondition condition = UpstreamCondition.READY;
    private Instant coldUntil = Instant.EPOCH;
    private long changedAt;
    private TrackedRateLimit rate = new TrackedRateLimit();
    private RateLimit toldLimit = RateLimit.NONE;
    private Instant limitSince = Instant.EPOCH;
    private String limitBy = "";

    private void forgetLimit() {
      rate = new TrackedRateLimit();
      toldLimit = RateLimit.NONE;
    }

    private boolean isYoungerThan(UpstreamInstance other) {
      return instance().bornMillis() > other.bornMillis();
    }

    private UpstreamInstance instance() {
      if (instance == null) {
        throw new IllegalStateException("an entry is kept only once it was heard");
      }
      return instance;
    }
  }
}
