package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.reachability.ConnectOutcome;

/**
 * A deployment whose entries may lose their links to all upstreams, while callers and the other
 * daemons reach them.
 */
final class CutLinksSimulation extends UpstreamNoticeSimulation {

  /** Time from a cut until first tries at cut entries must be served. */
  private static final Duration CONTACT_TIME = Duration.ofSeconds(3);

  private static final int HANG_MILLIS = 500;
  private static final int REFUSE_MILLIS = 2;
  private static final int ROUND_TRIP_MILLIS = 2;
  private static final int FORWARD_TIMEOUT_MILLIS = 700;

  /** First tries that count, at entries whose links are cut and at the others. */
  final Tally cut = new Tally();

  final Tally others = new Tally();
  int forwarded;

  /** Requests that reach an upstream within a backoff of an entry, beyond which it is broken. */
  private static final int MAX_WITHIN_BACKOFF = 2;

  private static final Duration BACKOFF_SLACK = Duration.ofMillis(500);

  private final Map<String, Backoff> backoffsOfSenders = new HashMap<>();
  private final Map<String, Instant> cutSince = new HashMap<>();
  private final Map<Long, Tally> counted = new HashMap<>();
  private final Set<Long> requestsSeen = new HashSet<>();
  private boolean refuses;

  /** A time for which an upstream wants nothing from an entry, and what it gets all the same. */
  private static final class Backoff {
    private final Instant since;
    private final Instant until;
    private int received;

    private Backoff(Instant since, Instant until) {
      this.since = since;
      this.until = until;
    }
  }

  /** Requests and how many of them were served. */
  static final class Tally {
    int sent;
    int served;

    double share() {
      return sent == 0 ? 1 : (double) served / sent;
    }

    @Override
    public String toString() {
      return served + " of " + sent;
    }
  }

  CutLinksSimulation(long seed, int entryCount, int upstreamCount, boolean engines) {
    super(seed, entryCount, upstreamCount, engines);
  }

  /**
   * Cuts the links of some entries.
   *
   * @param names the entries
   * @param refusesConnections whether connections are refused; else they hang
   */
  void cutLinks(Iterable<String> names, boolean refusesConnections) {
    refuses = refusesConnections;
    names.forEach(name -> cutSince.put(name, network.now()));
  }

  /** Restores the links of all entries. */
  void restoreLinks() {
    cutSince.clear();
  }

  private boolean isCut(String entry) {
    return cutSince.containsKey(entry);
  }

  @Override
  void inject(String entry, Event event) {
    if (event instanceof RelayEvent.RequestArrived arrived && isAwake(entry)) {
      count(entry, arrived.request().number());
    }
    super.inject(entry, event);
  }

  @Override
  void onBackoff(Upstream upstream, String sender, Instant until) {
    Instant since = network.now().plus(BACKOFF_SLACK);
    backoffsOfSenders.put(upstream.instance.id() + " " + sender, new Backoff(since, until));
  }

  @Override
  void onReached(Upstream upstream, String sender) {
    String key = upstream.instance.id() + " " + sender;
    Backoff backoff = backoffsOfSenders.get(key);
    Instant now = network.now();
    if (backoff != null && now.isAfter(backoff.since) && now.isBefore(backoff.until)) {
      backoff.received++;
      if (backoff.received > MAX_WITHIN_BACKOFF) {
        violations.add(now + " " + key + " within a backoff: " + backoff.received);
      }
    }
  }

  @Override
  void crash(String entry) {
    super.crash(entry);
    backoffsOfSenders.keySet().removeIf(key -> key.endsWith(" " + entry));
  }

  private void count(String entry, long request) {
    boolean isNew = requestsSeen.add(request);
    boolean anyCutLong =
        cutSince.values().stream()
            .anyMatch(since -> since.isBefore(network.now().minus(CONTACT_TIME)));
    boolean servable =
        entries.stream().anyMatch(other -> isAwake(other) && isSettled(other) && !isCut(other));
    if (isNew && anyCutLong && isSettled(entry) && servable) {
      Tally tally = isCut(entry) ? cut : others;
      tally.sent++;
      counted.put(request, tally);
    }
  }

  @Override
  void onEnded(long request, boolean isServed) {
    Tally tally = counted.remove(request);
    if (tally != null && isServed) {
      tally.served++;
    }
  }

  @Override
  void onEffect(String node, Effect effect) {
    if (effect instanceof RelayEffect.ProbePath probe) {
      Upstream upstream = upstream(probe.upstream().id());
      open(node, probe.upstream(), probe.forwarder(), upstream, new Receiver());
    } else {
      super.onEffect(node, effect);
    }
  }

  /** Receives the outcome of opening a connection; ignores it for a probe. */
  private static class Receiver {
    void opened() {}

    void failed(ConnectOutcome outcome) {}
  }

  @Override
  void connect(AttemptId id) {
    Connecting waiting = connecting.get(id);
    AttemptTarget target = waiting.sent().target();
    forwarded += target.forwarder() == null ? 0 : 1;
    open(
        id.entry(),
        target.upstream(),
        target.forwarder(),
        waiting.upstream(),
        new Receiver() {
          @Override
          void opened() {
            if (target.forwarder() == null) {
              CutLinksSimulation.super.connect(id);
            } else {
              deliver(id);
            }
          }

          @Override
          void failed(ConnectOutcome outcome) {
            if (connecting.remove(id) != null) {
              AttemptFailure failure =
                  switch (outcome) {
                    case FORWARDER_UNUSABLE -> AttemptFailure.NOT_FORWARDED;
                    case REJECTED -> AttemptFailure.FORWARD_REJECTED;
                    default -> AttemptFailure.NOT_SENT;
                  };
              fail(id.entry(), waiting.sent(), failure);
            }
          }
        });
  }

  private void open(
      String entry,
      UpstreamInstance instance,
      @Nullable String forwarder,
      @Nullable Upstream upstream,
      Receiver receiver) {
    boolean isUp = upstream != null && upstream.up;
    if (forwarder == null) {
      int millis = isCut(entry) && !refuses ? HANG_MILLIS : REFUSE_MILLIS;
      ConnectOutcome outcome =
          isCut(entry) || !isUp ? ConnectOutcome.UPSTREAM_UNREACHABLE : ConnectOutcome.OPENED;
      finish(entry, instance, null, outcome, millis, receiver);
    } else if (!isAwake(forwarder) || !network.isReachable(entry, forwarder)) {
      finish(
          entry,
          instance,
          forwarder,
          ConnectOutcome.FORWARDER_UNUSABLE,
          FORWARD_TIMEOUT_MILLIS,
          receiver);
    } else {
      forward(entry, instance, forwarder, isUp, receiver);
    }
  }

  private void forward(
      String entry, UpstreamInstance instance, String forwarder, boolean isUp, Receiver receiver) {
    ForwardDecision decision =
        entryParts.get(forwarder).decideForward(instance.address(), network.now());
    boolean reached = isUp && !isCut(forwarder);
    if (decision == ForwardDecision.ALLOWED) {
      ConnectOutcome seen = reached ? ConnectOutcome.OPENED : ConnectOutcome.UPSTREAM_UNREACHABLE;
      inject(forwarder, new RelayEvent.UpstreamConnected(instance, null, seen));
    }
    ConnectOutcome outcome =
        switch (decision) {
          case UNUSABLE -> ConnectOutcome.FORWARDER_UNUSABLE;
          case REJECTED -> ConnectOutcome.REJECTED;
          case ALLOWED -> reached ? ConnectOutcome.OPENED : ConnectOutcome.UPSTREAM_UNREACHABLE;
        };
    schedule(
        random.nextInt(20) == 0 ? randomMillis(HANG_MILLIS) : 1,
        () ->
            finish(
                entry,
                instance,
                forwarder,
                recheck(forwarder, instance, outcome),
                ROUND_TRIP_MILLIS,
                receiver));
  }

  /** Returns the outcome after the forwarder has decided again once the connection is open. */
  private ConnectOutcome recheck(
      String forwarder, UpstreamInstance instance, ConnectOutcome outcome) {
    ForwardDecision decision =
        entryParts.get(forwarder).decideForward(instance.address(), network.now());
    boolean stillAllowed = decision == ForwardDecision.ALLOWED || outcome != ConnectOutcome.OPENED;
    return stillAllowed ? outcome : ConnectOutcome.REJECTED;
  }

  private void finish(
      String entry,
      UpstreamInstance instance,
      @Nullable String forwarder,
      ConnectOutcome outcome,
      int millis,
      Receiver receiver) {
    schedule(
        millis,
        () -> {
          inject(entry, new RelayEvent.UpstreamConnected(instance, forwarder, outcome));
          if (outcome == ConnectOutcome.OPENED) {
            receiver.opened();
          } else {
            receiver.failed(outcome);
          }
        });
  }
}
