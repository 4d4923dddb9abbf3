package org.skylarkfork.core.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.message.ConfigurationMessage;
import org.skylarkfork.core.message.ConfigurationMessage.LaggingEntry;
import org.skylarkfork.core.message.ConfigurationMessage.LeaseGrant;
import org.skylarkfork.core.message.ConfigurationMessage.Renew;

/** The daemons that take configuration and leases from this one. */
final class Subscribers {

  static final int MOST_PUSHED_WEIGHT = 2000;
  static final Duration RESEND = Duration.ofMillis(500);
  static final Duration LEAST_EXTENSION = Duration.ofMillis(200);

  private final ConfigurationSettings settings;
  private final AppliedConfiguration applied;
  private final EntryLease lease;
  private final Map<String, Subscriber> byNode = new LinkedHashMap<>();
  private @Nullable FullCopy copy;

  Subscribers(ConfigurationSettings settings, AppliedConfiguration applied, EntryLease lease) {
    this.settings = settings;
    this.applied = applied;
    this.lease = lease;
  }

  void renewed(String node, Renew renew, Instant now, Output output) {
    Subscriber subscriber = byNode.get(node);
    if (subscriber == null) {
      if (byNode.size() >= settings.mostSubscribers()) {
        send(node, new ConfigurationMessage.TryOther(), output);
        return;
      }
      subscriber = new Subscriber(node);
      byNode.put(node, subscriber);
    }
    if (renew.sentAt().isBefore(subscriber.sentAt) && now.isBefore(subscriber.end())) {
      return;
    }
    subscriber.renewed(renew, now);
    bringUpToDate(subscriber, renew.repair(), now, output);
    if (lease.isValid(now)) {
      grant(subscriber, output);
    } else {
      send(node, new ConfigurationMessage.TryOther(), output);
    }
  }

  private void bringUpToDate(Subscriber subscriber, boolean repair, Instant now, Output output) {
    long have = subscriber.haveRevision;
    boolean wantsMore =
        repair
            || have == subscriber.pushedRevision
            || !now.isBefore(subscriber.pushedAt.plus(RESEND));
    if (have < applied.revision() && wantsMore) {
      List<ConfigurationStep> steps = applied.stepsFrom(have, MOST_PUSHED_WEIGHT);
      if (steps.isEmpty()) {
        beginCopy(subscriber, now, output);
      } else {
        push(subscriber, steps, now, output);
      }
    }
  }

  private static void push(
      Subscriber subscriber, List<ConfigurationStep> steps, Instant now, Output output) {
    subscriber.pushedRevision = steps.get(steps.size() - 1).to();
    subscriber.pushedAt = now;
    send(subscriber.node, new ConfigurationMessage.Push(steps), output);
  }

  private void beginCopy(Subscriber subscriber, Instant now, Output output) {
    FullCopy useful = copy;
    if (useful == null
        || useful.revision() <= subscriber.haveRevision
        || !leadsToPresent(useful.revision())) {
      useful = new FullCopy(applied.current());
      copy = useful;
    }
    subscriber.pushedRevision = useful.revision();
    subscriber.pushedAt = now;
    output.effect(new TraceEffect.Count("configuration_full_copies", "", 1));
    send(subscriber.node, useful.chunk(0), output);
  }

  private boolean leadsToPresent(long revision) {
    return revision == applied.revision()
        || !applied.stepsFrom(revision, MOST_PUSHED_WEIGHT).isEmpty();
  }

  void copyRequested(
      String node, ConfigurationMessage.CopyRequest request, Instant now, Output output) {
    Subscriber subscriber = byNode.get(node);
    FullCopy present = copy;
    if (subscriber == null) {
      return;
    }
    if (present == null || present.revision() != request.revision()) {
      beginCopy(subscriber, now, output);
      return;
    }
    subscriber.pushedAt = now;
    send(node, present.chunk(request.index()), output);
  }

  /** Pushes newly applied steps to each subscriber that was up to date. */
  void pushAll(Instant now, Output output) {
    for (Subscriber subscriber : byNode.values()) {
      List<ConfigurationStep> steps =
          applied.stepsFrom(subscriber.pushedRevision, MOST_PUSHED_WEIGHT);
      if (isListening(subscriber, now) && !steps.isEmpty()) {
        push(subscriber, steps, now, output);
      }
    }
  }

  /** Passes an extension of this daemon's own lease on. */
  void grantAll(Instant now, Output output) {
    for (Subscriber subscriber : byNode.values()) {
      if (isListening(subscriber, now)) {
        grant(subscriber, output);
      }
    }
  }

  private boolean isListening(Subscriber subscriber, Instant now) {
    return now.isBefore(subscriber.receivedAt.plus(settings.lease()));
  }

  private void grant(Subscriber subscriber, Output output) {
    Instant end = lease.end();
    Duration remaining = Duration.between(subscriber.receivedAt, end);
    if (remaining.isNegative() || end.isBefore(subscriber.end().plus(LEAST_EXTENSION))) {
      return;
    }
    subscriber.granted(applied.revision(), end);
    send(subscriber.node, new LeaseGrant(subscriber.sentAt, remaining, applied.revision()), output);
  }

  /** Forgets daemons whose leases have ended and who went silent. */
  void tick(Instant now) {
    byNode
        .values()
        .removeIf(subscriber -> !now.isBefore(subscriber.end()) && !isListening(subscriber, now));
  }

  /** Returns the revision that all daemons with leases from here have reached. */
  long floor(Instant now) {
    long floor = applied.revision();
    for (Subscriber subscriber : byNode.values()) {
      floor = Math.min(floor, subscriber.lowest(now));
    }
    return floor;
  }

  /** Returns the daemons that may serve below a revision by leases from here. */
  List<LaggingEntry> lagging(long revision, Instant now) {
    List<LaggingEntry> found = new ArrayList<>();
    for (Subscriber subscriber : byNode.values()) {
      Instant end = subscriber.mayServeBelow(revision, now);
      if (end != null) {
        addLagging(subscriber, revision, end, now, found);
      }
    }
    return found;
  }

  private static void addLagging(
      Subscriber subscriber, long revision, Instant end, Instant now, List<LaggingEntry> found) {
    int before = found.size();
    for (LaggingEntry below : subscriber.lagging) {
      Instant belowEnd = subscriber.receivedAt.plus(below.leaseLeft());
      if (below.revision() < revision && now.isBefore(belowEnd)) {
        found.add(
            new LaggingEntry(below.node(), below.revision(), Duration.between(now, belowEnd)));
      }
    }
    if (subscriber.haveRevision < revision || found.size() == before) {
      Duration left = Duration.between(now, end);
      found.add(new LaggingEntry(subscriber.node, subscriber.haveRevision, left));
    }
  }

  private static void send(String node, ConfigurationMessage message, Output output) {
    output.effect(new PeerEffect.SendToPeer(node, message));
  }
}
