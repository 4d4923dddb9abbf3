package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.message.RelayMessage.DirectoryChanges;
import org.skylarkfork.core.message.RelayMessage.UpstreamRateLimit;
import org.skylarkfork.core.upstream.UpstreamRun;

/** An entry's replica of the leader's directory of upstreams. */
final class UpstreamDirectory {

  /**
   * Maximum number of rate limits in one poll, some 30 bytes each; the others follow with the next
   * poll.
   */
  private static final int MAX_LIMITS = 64;

  /** Maximum number of leaving upstreams in one poll; the others follow with the next poll. */
  private static final int MAX_LEAVING = 64;

  /** Maximum number of removed runs of which is kept what they have stated. */
  private static final int MAX_REMOVED = 512;

  private final Map<String, TrackedUpstream> byId = new LinkedHashMap<>();
  private final Map<UpstreamRun, StatedAvailability> removed = new LinkedHashMap<>();
  private final Map<String, List<TrackedUpstream>> byService = new HashMap<>();
  private final Map<String, String> stableVersions = new HashMap<>();
  private final Map<String, UpstreamRun> leaving = new HashMap<>();
  private Set<String> evacuated = Set.of();
  private long epoch;
  private long sequence;
  private boolean settled;

  /** Returns the epoch of the leader's directory that was applied last; 0 for none. */
  long epoch() {
    return epoch;
  }

  /** Returns the sequence number of the last change that was applied. */
  long sequence() {
    return sequence;
  }

  /** Returns whether all live upstreams are known. */
  boolean settled() {
    return settled;
  }

  List<TrackedUpstream> upstreams(String service) {
    return byService.getOrDefault(service, List.of());
  }

  Collection<TrackedUpstream> allUpstreams() {
    return byId.values();
  }

  @Nullable TrackedUpstream upstream(String id) {
    return byId.get(id);
  }

  /** Returns the newest known upstream at an address, or null if there is none. */
  @Nullable TrackedUpstream upstreamAt(String address) {
    TrackedUpstream newest = null;
    for (TrackedUpstream upstream : byId.values()) {
      UpstreamInstance instance = upstream.instance();
      boolean isNewer = newest == null || instance.bornMillis() >= newest.instance().bornMillis();
      if (instance.address().equals(address) && isNewer) {
        newest = upstream;
      }
    }
    return newest;
  }

  /**
   * Returns the stable version of a service, which serves outside of roll-outs, or null if unknown.
   */
  @Nullable String stableVersion(String service) {
    return stableVersions.get(service);
  }

  /** Sets the stable version of a service after a roll-out. */
  void stableVersion(String service, String version) {
    stableVersions.put(service, version);
  }

  /** Returns the evacuated availability zones, whose upstreams receive no requests. */
  Set<String> evacuated() {
    return evacuated;
  }

  /** Replaces the set of evacuated availability zones. */
  void evacuated(Set<String> zones, Output output) {
    evacuated = zones;
    for (TrackedUpstream upstream : byId.values()) {
      recallIfRejecting(upstream, () -> markEvacuated(upstream), output);
    }
  }

  /**
   * Applies a change, and recalls the attempts that still wait for a connection to the upstream if
   * it receives no new requests from now on.
   */
  private static void recallIfRejecting(TrackedUpstream upstream, Runnable change, Output output) {
    boolean rejectedBefore = upstream.condition().rejectsNewWork();
    change.run();
    if (!rejectedBefore && upstream.condition().rejectsNewWork()) {
      recall(upstream, output);
    }
  }

  private static void recall(TrackedUpstream upstream, Output output) {
    output.effect(new RelayEffect.RecallUnsent(upstream.instance()));
  }

  private void markEvacuated(TrackedUpstream upstream) {
    upstream.evacuated(evacuated.contains(upstream.instance().zone()));
  }

  /**
   * Replaces the set of upstream runs that leave.
   *
   * @param runs all runs whose leaving is committed
   * @param index log index of that set
   * @param output receives a log line for each upstream that newly leaves
   */
  void updateLeaving(List<UpstreamRun> runs, long index, Output output) {
    leaving.clear();
    runs.forEach(run -> leaving.put(run.id(), run));
    for (UpstreamRun run : leaving.values()) {
      TrackedUpstream upstream = byId.get(run.id());
      boolean matches = upstream != null && run.covers(upstream.instance().run());
      if (matches && !upstream.leavingConfirmed()) {
        recallIfRejecting(upstream, upstream::markLeaving, output);
        log("event=upstream_leaves id=" + run.id() + " index=" + index, output);
      }
    }
  }

  /**
   * Applies changes from the leader, unless they are outdated or do not follow the last change
   * applied.
   */
  void apply(DirectoryChanges changes, Instant now, Output output) {
    if (changes.epoch() < epoch) {
      return;
    }
    boolean continues = changes.epoch() == epoch && changes.sequence() >= sequence;
    if (!changes.whole() && !continues) {
      return;
    }
    for (UpstreamStatus status : changes.upstreams()) {
      apply(status, now, output);
    }
    settled |= changes.settled();
    epoch = changes.epoch();
    sequence = changes.sequence();
    if (changes.whole() && changes.settled()) {
      retainOnly(changes.upstreams(), output);
    } else if (changes.whole()) {
      // An unsettled leader may not know every upstream yet; request the whole directory again
      // later.
      epoch = changes.epoch() - 1;
    }
  }

  private void apply(UpstreamStatus status, Instant now, Output output) {
    UpstreamInstance instance = status.instance();
    TrackedUpstream known = byId.get(instance.id());
    if (known == null || instance.bornMillis() > known.instance().bornMillis()) {
      addRun(status, known, output);
    } else if (instance.bornMillis() != known.instance().bornMillis()) {
      return;
    } else if (known.condition() != status.condition() || instance.isNewerThan(known.instance())) {
      recallIfRejecting(known, () -> known.updateStatus(status), output);
    }
    TrackedUpstream upstream = byId.get(instance.id());
    applyCold(upstream, instance, now, output);
    applyRateLimit(upstream, status.named(), now, output);
  }

  /** Updates until when an upstream is cold; message delay can only lengthen that time. */
  private static void applyCold(
      TrackedUpstream upstream, UpstreamInstance instance, Instant now, Output output) {
    if (instance.sequence() < upstream.instance().sequence()) {
      return;
    }
    boolean wasCold = upstream.isCold(now);
    upstream.coldUntil(now.plusMillis(instance.coldMillis()));
    if (wasCold != upstream.isCold(now)) {
      log("event=upstream_cold id=" + instance.id() + " cold_ms=" + instance.coldMillis(), output);
    }
  }

  /**
   * Adds a new run of an upstream and discards the statistics of the run before.
   *
   * <p>If they were retained, failures of the run before would divert requests from a healthy
   * process, and prompts would be placed by cached prefixes that the new process does not have.
   *
   * <p>What the same run stated before it was removed still holds: a new leader may list an
   * upstream late, and an entry that had forgotten it would send too early. Attempts that began
   * before the removal still add to it.
   */
  private void addRun(UpstreamStatus status, @Nullable TrackedUpstream before, Output output) {
    UpstreamInstance instance = status.instance();
    if (before != null) {
      byService.getOrDefault(before.instance().service(), List.of()).remove(before);
      retainStated(before);
      recall(before, output);
    }
    StatedAvailability stated = removed.remove(instance.run());
    TrackedUpstream upstream =
        new TrackedUpstream(status, stated == null ? new StatedAvailability() : stated);
    UpstreamRun left = leaving.get(instance.id());
    if (left != null && left.covers(instance.run())) {
      upstream.markLeaving();
    }
    markEvacuated(upstream);
    byId.put(instance.id(), upstream);
    byService.computeIfAbsent(instance.service(), service -> new ArrayList<>()).add(upstream);
    stableVersions.putIfAbsent(instance.service(), instance.version());
    log("event=upstream_taken " + facts(status), output);
  }

  private static void applyRateLimit(
      TrackedUpstream upstream, @Nullable ReportedLimit named, Instant now, Output output) {
    RateLimit before = upstream.rateLimit();
    upstream.rate().setKnownToLeader(named);
    if (upstream.rate().updateIfNewer(named, now) && !upstream.rateLimit().isNear(before)) {
      String facts =
          "event=rate_limit_told id="
              + upstream.instance().id()
              + " per_second="
              + upstream.rateLimit()
              + " before="
              + before
              + " age_ms="
              + Duration.between(upstream.rate().reportedAt(), now).toMillis();
      log(facts, output);
    }
  }

  /**
   * Returns the rate limits that upstreams reported to this entry and that the leader does not
   * know.
   */
  List<UpstreamRateLimit> limitsUnknownToLeader(Instant now) {
    List<UpstreamRateLimit> limits = new ArrayList<>();
    for (TrackedUpstream upstream : byId.values()) {
      TrackedRateLimit rate = upstream.rate();
      ReportedLimit named = rate.differsFromLeader() ? rate.toReport(now) : null;
      if (named != null && limits.size() < MAX_LIMITS) {
        limits.add(new UpstreamRateLimit(upstream.instance().run(), named));
      }
    }
    return limits;
  }

  /**
   * Returns the upstreams that have stated in answers to this entry that they are leaving, unless
   * the leader has confirmed it.
   */
  List<UpstreamRun> leavingUnknownToLeader() {
    return byId.values().stream()
        .filter(upstream -> upstream.reportsLeaving() && !upstream.leavingConfirmed())
        .limit(MAX_LEAVING)
        .map(upstream -> upstream.instance().run())
        .toList();
  }

  private void retainOnly(List<UpstreamStatus> all, Output output) {
    Set<String> ids = new HashSet<>();
    all.forEach(status -> ids.add(status.instance().id()));
    for (TrackedUpstream upstream : byId.values()) {
      if (!ids.contains(upstream.instance().id())) {
        retainStated(upstream);
        recall(upstream, output);
      }
    }
    byId.keySet().retainAll(ids);
    for (List<TrackedUpstream> upstreams : byService.values()) {
      upstreams.removeIf(upstream -> !ids.contains(upstream.instance().id()));
    }
  }

  private void retainStated(TrackedUpstream upstream) {
    removed.put(upstream.instance().run(), upstream.stated());
    if (removed.size() > MAX_REMOVED) {
      removed.remove(removed.keySet().iterator().next());
    }
  }

  private static String facts(UpstreamStatus status) {
    UpstreamInstance instance = status.instance();
    return "id="
        + instance.id()
        + " born_ms="
        + instance.bornMillis()
        + " service="
        + instance.service()
        + " address="
        + instance.address()
        + " zone="
        + instance.zone()
        + " version="
        + instance.version()
        + " condition="
        + status.condition();
  }

  private static void log(String facts, Output output) {
    output.effect(new TraceEffect.LogLine(false, "relay", facts));
  }
}
