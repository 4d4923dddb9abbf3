package org.skylarkfork.core.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/** SWIM failure detector: probes the peers in turn and reports those that did not answer. */
final class FailureDetector {

  private final String self;
  private final MembershipSettings settings;
  private final MemberTable table;
  private final LocalHealth health;
  private final UniformRandomProvider random;
  private final Messenger messenger;
  private final Map<Long, Probe> probes = new TreeMap<>();
  private List<String> round = List.of();
  private int position;
  private long lastSequence;
  private Instant nextProbe = Instant.MIN;

  FailureDetector(
      String self,
      MembershipSettings settings,
      MemberTable table,
      LocalHealth health,
      UniformRandomProvider random,
      Messenger messenger) {
    this.self = self;
    this.settings = settings;
    this.table = table;
    this.health = health;
    this.random = random;
    this.messenger = messenger;
  }

  /** Sends the detector's messages to other daemons. */
  interface Messenger {

    void ping(String node, long sequence);

    void requestPing(String helper, String target, long sequence);

    void ack(String node, long sequence);

    void nack(String node, long sequence);
  }

  /** Starts probes that are due and returns the daemons whose direct and indirect probes failed. */
  List<String> tick(Instant now) {
    List<String> unresponsive = new ArrayList<>();
    for (Iterator<Probe> it = probes.values().iterator(); it.hasNext(); ) {
      Probe probe = it.next();
      if (probe.origin != null) {
        expireRelayedProbe(probe, it, now);
      } else if (!now.isBefore(probe.start.plus(health.scale(settings.probeDeadline())))) {
        it.remove();
        recordFailure(probe, unresponsive);
      } else if (!probe.indirect
          && !now.isBefore(probe.start.plus(health.scale(settings.probeTimeout())))) {
        probeIndirectly(probe);
      }
    }
    if (!now.isBefore(nextProbe)) {
      nextProbe = now.plus(health.scale(settings.probeInterval()));
      probeNext(now);
    }
    return unresponsive;
  }

  /** Probes a daemon out of turn, such as one considered dead; a missing answer has no effect. */
  void probeOnce(String node) {
    messenger.ping(node, ++lastSequence);
  }

  void relayProbe(String origin, long originSequence, String target, Instant now) {
    start(new Probe(++lastSequence, target, now, origin, originSequence));
  }

  void onAck(long sequence) {
    Probe probe = probes.remove(sequence);
    if (probe == null) {
      return;
    }
    if (probe.origin != null) {
      messenger.ack(probe.origin, probe.originSequence);
    } else {
      health.improve();
    }
  }

  void onNack(long sequence) {
    Probe probe = probes.get(sequence);
    if (probe != null && probe.origin == null) {
      probe.missingNacks--;
    }
  }

  private void expireRelayedProbe(Probe probe, Iterator<Probe> it, Instant now) {
    if (!now.isBefore(probe.start.plus(settings.probeTimeout()))) {
      it.remove();
      messenger.nack(String.valueOf(probe.origin), probe.originSequence);
    }
  }

  private void recordFailure(Probe probe, List<String> unresponsive) {
    // A helper that sends neither an ack nor a nack indicates that this daemon itself is isolated.
    health.degrade(probe.helperCount == 0 ? 1 : Math.max(0, probe.missingNacks));
    unresponsive.add(probe.target);
  }

  private void probeIndirectly(Probe probe) {
    probe.indirect = true;
    List<String> helpers = new ArrayList<>(table.peers(self));
    helpers.remove(probe.target);
    Shuffle.inPlace(helpers, random);
    for (String helper : helpers.subList(0, Math.min(settings.indirectProbes(), helpers.size()))) {
      probe.helperCount++;
      probe.missingNacks++;
      messenger.requestPing(helper, probe.target, probe.sequence);
    }
    // Only the first ping may have been lost.
    messenger.ping(probe.target, probe.sequence);
  }

  private void probeNext(Instant now) {
    if (position >= round.size()) {
      List<String> nextRound = new ArrayList<>(table.peers(self));
      Shuffle.inPlace(nextRound, random);
      round = nextRound;
      position = 0;
    }
    while (position < round.size()) {
      String target = round.get(position++);
      if (table.isLive(target) && !isProbed(target)) {
        start(new Probe(++lastSequence, target, now, null, 0));
        return;
      }
    }
  }

  private void start(Probe probe) {
    probes.put(probe.sequence, probe);
    messenger.ping(probe.target, probe.sequence);
  }

  private boolean isProbed(String target) {
    return probes.values().stream()
        .anyMatch(probe -> probe.origin == null && probe.target.equals(target));
  }

  private static final class Probe {
    private final long sequence;
    private final String target;
    private final Instant start;
    private final @Nullable String origin;
    private final long originSequence;
    private boolean indirect;
    private int helperCount;
    private int missingNacks;

    private Probe(
        long sequence, String target, Instant start, @Nullable String origin, long originSequence) {
      this.sequence = sequence;
      this.target = target;
      this.start = start;
      this.origin = origin;
      this.originSequence = originSequence;
    }
  }
}
