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
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.message.RelayMessage.DirectoryChanges;
import org.skylarkfork.core.message.RelayMessage.UpstreamRateLimit;
import org.skylarkfork.core.upstream.UpstreamRun;

/** The upstreams that an entry knows of, as the leader tells of them. */
final class UpstreamDirectory {

  /** Rate limits in one poll, some 30 bytes each; the others come with the next. */
  private static final int MOST_LIMITS = 64;

  private final Map<String, TrackedUpstream> byId = new LinkedHashMap<>();
  private final Map<String, List<TrackedUpstream>> byService = new HashMap<>();
  private final Map<String, String> usualVersions = new HashMap<>();
  private final Map<String, UpstreamRun> updateLeaving = new HashMap<>();
  private Set<String> evacuated = Set.of();
  private long epoch;
  private long sequence;
  private boolean settled;

  /** Returns the epoch of the leader's directory that this one has; 0 for none. */
  long epoch() {
    return epoch;
  }

  /** Returns the newest change of that directory that this one has. */
  long sequence() {
    return sequence;
  }

  /** Returns whether all upstreams that live are known. */
  boolean settled() {
    return settled;
  }

  List<TrackedUpstream> upstreams(String service) {
    return byService.getOrDefault(service, List.of());
  }

  Collection<TrackedUpstream> tracks() {
    return byId.values();
  }

  @Nullable TrackedUpstream track(String id) {
    return byId.get(id);
  }

  /** Returns the version of a service that is used apart from roll-outs, or null if none is. */
  @Nullable String stableVersion(String service) {
    return usualVersions.get(service);
  }

  /** Takes note that a version of a service has come into use with a roll-out. */
  void stableVersion(String service, String version) {
    usualVersions.put(service, version);
  }

  /** Returns the availability zones whose upstreams get nothing. */
  Set<String> evacuated() {
    return evacuated;
  }

  void evacuated(Set<String> zones) {
    evacuated = zones;
    byId.values().forEach(this::markEvacuated);
  }

  private void markEvacuated(TrackedUpstream track) {
    track.evacuated(evacuated.contains(track.instance().zone()));
  }

  /**
   * Takes the starts of upstreams that leave, all that are agreed on.
   *
   * @param runs the starts
   * @param index log index that this rests on
   * @param output takes a line for each that is new
   */
  void updateLeaving(List<UpstreamRun> runs, long index, Output output) {
    updateLeaving.clear();
    runs.forEach(run -> updateLeaving.put(run.id(), run));
    for (UpstreamRun run : updateLeaving.values()) {
      TrackedUpstream track = byId.get(run.id());
      boolean meant = track != null && run.covers(track.instance().run());
      if (meant && track.condition() != UpstreamCondition.LEAVING) {
        track.markLeaving();
        log("event=upstream_leaves id=" + run.id() + " index=" + index, output);
      }
    }
  }

  /** Takes what the leader tells, unless it is older than what is known or doesn't follow it. */
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
      forgetOthers(changes.upstreams());
    } else if (changes.whole()) {
      // An unsettled leader may not know every upstream yet; ask again for the whole later.
      epoch = changes.epoch() - 1;
    }
  }

  private void apply(UpstreamStatus status, Instant now, Output output) {
    UpstreamInstance instance = status.instance();
    TrackedUpstream known = byId.get(instance.id());
    if (known == null || instance.bornMillis() > known.instance().bornMillis()) {
      takeRun(status, known, output);
    } else if (instance.bornMillis() != known.instance().bornMillis()) {
      return;
    } else if (known.condition() != status.condition() || instance.isNewerThan(known.instance())) {
      known.updateStatus(status);
    }
    TrackedUpstream track = byId.get(instance.id());
    takeCold(track, instance, now, output);
    takeLimit(track, status.named(), now, output);
  }

  /**
   * Takes over how long an upstream is cold; the way of the message makes it longer, never less.
   */
  private static void takeCold(
      TrackedUpstream track, UpstreamInstance told, Instant now, Output output) {
    if (told.sequence() < track.instance().sequence()) {
      return;
    }
    boolean was = track.isCold(now);
    track.coldUntil(now.plusMillis(told.coldMillis()));
    if (was != track.isCold(now)) {
      log("event=upstream_cold id=" + told.id() + " cold_ms=" + told.coldMillis(), output);
    }
  }

  /**
   * Takes a start of an upstream that is not known yet; what was learned of the one before goes.
   *
   * <p>Kept, its failures would turn work away from a sound process, and prompts would be sent to
   * where they were kept before.
   */
  private void takeRun(UpstreamStatus status, @Nullable TrackedUpstream before, Output output) {
    UpstreamInstance instance = status.instance();
    if (before != null) {
      byService.getOrDefault(before.instance().service(), List.of()).remove(before);
    }
    TrackedUpstream track = new TrackedUpstream(status);
    UpstreamRun left = updateLeaving.get(instance.id());
    if (left != null && left.covers(instance.run())) {
      track.markLeaving();
    }
    markEvacuated(track);
    byId.put(instance.id(), track);
    byService.computeIfAbsent(instance.service(), service -> new ArrayList<>()).add(track);
    usualVersions.putIfAbsent(instance.service(), instance.version());
    log("event=upstream_taken " + facts(status), output);
  }

  private static void takeLimit(
      TrackedUpstream track, @Nullable ReportedLimit named, Instant now, Output output) {
    RateLimit before = track.rateLimit();
    track.rate().setKnownToLeader(named);
    if (track.rate().updateIfNewer(named, now) && !track.rateLimit().isNear(before)) {
      String facts =
          "event=rate_limit_told id="
              + track.instance().id()
              + " per_second="
              + track.rateLimit()
              + " before="
              + before
              + " age_ms="
              + Duration.between(track.rate().reportedAt(), now).toMillis();
      log(facts, output);
    }
  }

  /** Returns what upstreams named to this entry and the leader doesn't know. */
  List<UpstreamRateLimit> limitsUnknownToLeader(Instant now) {
    List<UpstreamRateLimit> limits = new ArrayList<>();
    for (TrackedUpstream track : byId.values()) {
      TrackedRateLimit rate = track.rate();
      ReportedLimit named = rate.differsFromLeader() ? rate.toReport(now) : null;
      if (named != null && limits.size() < MOST_LIMITS) {
        limits.add(new UpstreamRateLimit(track.instance().run(), named));
      }
    }
    return limits;
  }

  private void forgetOthers(List<UpstreamStatus> all) {
    Set<String> ids = new HashSet<>();
    all.forEach(status -> ids.add(status.instance().id()));
    byId.keySet().retainAll(ids);
    for (List<TrackedUpstream> tracks : byService.values()) {
      tracks.removeIf(track -> !ids.contains(track.instance().id()));
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
