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

  static final int MAX_PUSH_WEIGHT = 2000;
  static final Duration RESEND_INTERVAL = Duration.ofMillis(500);
  static final Duration MIN_EXTENSION = Duration.ofMillis(200);

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

  void renewalReceived(String node, Renew renew, Instant now, Output output) {
    Subscriber subscriber = byNode.get(node);
    if (subscriber == null) {
      if (byNode.size() >= settings.maxSubscribers()) {
        send(node, new ConfigurationMessage.TryOther(), output);
        return;
      }
      subscriber = new Subscriber(node);
      byNode.put(node, subscriber);
    }
    if (renew.sentAt().isBefore(subscriber.sentAt) && now.isBefore(subscriber.lastGrantEnd())) {
      return;
    }
    subscriber.updateFrom(renew, now);
    sendMissingRevisions(subscriber, renew.repair(), now, output);
    if (lease.isValid(now)) {
      grant(subscriber, output);
    } else {
      send(node, new ConfigurationMessage.TryOther(), output);
    }
  }

  private void sendMissingRevisions(
      Subscriber subscriber, boolean repair, Instant now, Output output) {
    long reported = subscriber.reportedRevision;
    boolean sendNow =
        repair
            || reported == subscriber.pushedRevision
            || !now.isBefore(subscriber.pushedAt.plus(RESEND_INTERVAL));
    if (reported < applied.revision() && sendNow) {
      List<ConfigurationStep> steps = applied.stepsFrom(reported, MAX_PUSH_WEIGHT);
      if (steps.isEmpty()) {
        startCopy(subscriber, now, output);
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

  private void startCopy(Subscriber subscriber, Instant now, Output output) {
    FullCopy reusable = copy;
    if (reusable == null
        || reusable.revision() <= subscriber.reportedRevision
        || !stepsReachCurrent(reusable.revision())) {
      reusable = new FullCopy(applied.current());
      copy = reusable;
    }
    subscriber.pushedRevision = reusable.revision();
    subscriber.pushedAt = now;
    output.effect(new TraceEffect.Count("configuration_full_copies", "", 1));
    send(subscriber.node, reusable.chunk(0), output);
  }

  private boolean stepsReachCurrent(long revision) {
    return revision == applied.revision()
        || !applied.stepsFrom(revision, MAX_PUSH_WEIGHT).isEmpty();
  }

  void copyRequested(
      String node, ConfigurationMessage.CopyRequest request, Instant now, Output output) {
    Subscriber subscriber = byNode.get(node);
    FullCopy currentCopy = copy;
    if (subscriber == null) {
      return;
    }
    if (currentCopy == null || currentCopy.revision() != request.revision()) {
      startCopy(subscriber, now, output);
      return;
    }
    subscriber.pushedAt = now;
    send(node, currentCopy.chunk(request.index()), output);
  }

  /** Pushes newly applied steps to each subscriber that was up to date. */
  void pushAll(Instant now, Output output) {
    for (Subscriber subscriber : byNode.values()) {
      List<ConfigurationStep> steps = applied.stepsFrom(subscriber.pushedRevision, MAX_PUSH_WEIGHT);
      if (isActive(subscriber, now) && !steps.isEmpty()) {
        push(subscriber, steps, now, output);
      }
    }
  }

  /** Passes an extension of this daemon's own lease on. */
  void grantAll(Instant now, Output output) {
    for (Subscriber subscriber : byNode.values()) {
      if (isActive(subscriber, now)) {
        grant(subscriber, output);
      }
    }
  }

  private boolean isActive(Subscriber subscriber, Instant now) {
    return now.isBefore(subscriber.receivedAt.plus(settings.lease()));
  }

  private void grant(Subscriber subscriber, Output output) {
    Instant end = lease.end();
    Duration remaining = Duration.between(subscriber.receivedAt, end);
    if (remaining.isNegative() || end.isBefore(subscriber.lastGrantEnd().plus(MIN_EXTENSION))) {
      return;
    }
    subscriber.recordGrant(applied.revision(), end);
    send(subscriber.node, new LeaseGrant(subscriber.sentAt, remaining, applied.revision()), output);
  }

  /** Forgets daemons whose leases have ended and who went silent. */
  void tick(Instant now) {
    byNode
        .values()
        .removeIf(
            subscriber -> !now.isBefore(subscriber.lastGrantEnd()) && !isActive(subscriber, now));
  }

  /** Returns the revision that all daemons with leases from here have reached. */
  long floor(Instant now) {
    long floor = applied.revision();
    for (Subscriber subscriber : byNode.values()) {
      floor = Math.min(floor, subscriber.oldestServedRevision(now));
    }
    return floor;
  }

  /** Returns the daemons that may serve below a revision by leases from here. */
  List<LaggingEntry> lagging(long revision, Instant now) {
    List<LaggingEntry> found = new ArrayList<>();
    for (Subscriber subscriber : byNode.values()) {
      Instant end = subscriber.leaseEndBelow(revision, now);
      if (end != null) {
        addLagging(subscriber, revision, end, now, found);
      }
    }
    return found;
  }

  private static void addLagging(
      Subscriber subscriber, long revision, Instant end, Instant now, List<LaggingEntry> found) {
    int sizeBefore = found.size();
    for (LaggingEntry downstream : subscriber.lagging) {
      Instant downstreamEnd = subscriber.receivedAt.plus(downstream.leaseLeft());
      if (downstream.revision() < revision && now.isBefore(downstreamEnd)) {
        found.add(
            new LaggingEntry(
                downstream.node(), downstream.revision(), Duration.between(now, downstreamEnd)));
      }
    }
    if (subscriber.reportedRevision < revision || found.size() == sizeBefore) {
      Duration left = Duration.between(now, end);
      found.add(new LaggingEntry(subscriber.node, subscriber.reportedRevision, left));
    }
  }

  private static void send(String node, ConfigurationMessage message, Output output) {
    output.effect(new PeerEffect.SendToPeer(node, message));
  }
}
