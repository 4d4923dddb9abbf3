package org.skylarkfork.core.order;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.skylarkfork.core.Invariants;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.effect.UpstreamEffect.SendOrder;
import org.skylarkfork.core.event.UpstreamEvent.OrderAnswered;
import org.skylarkfork.core.event.UpstreamEvent.OrderOutcome;
import org.skylarkfork.core.upstream.Announcement;

/**
 * Sends recorded orders and finds out what came of them, for one hold of the lease.
 *
 * <p>An order is done once its engine announces so. An order whose outcome is not known is sent
 * again under its old id, by this holder or the next one.
 */
final class OrderDispatcher {

  private final OrderSettings settings;
  private final Map<String, Sent> sent = new HashMap<>();
  private final Map<String, Duration> missingSince = new HashMap<>();
  private final Map<String, Duration> passedOverUntil = new HashMap<>();

  OrderDispatcher(OrderSettings settings) {
    this.settings = settings;
  }

  /** What is known of an open order now. */
  enum OrderState_ {
    /** It has to be waited for. */
    WAIT,
    /** Its engine announces that it is carried out. */
    DONE,
    /** It will not be carried out. */
    FAILED
  }

  /**
   * Looks at an open order, and sends it if it is time to.
   *
   * @param order the order
   * @param engine its engine's newest announcement, if the engine is known
   * @param lease the lease, which is valid
   */
  OrderState_ see(Order order, Optional<Announcement> engine, LeaseHolder lease, Output output) {
    Duration passed = lease.passed();
    if (engine.isEmpty()) {
      Duration since = missingSince.computeIfAbsent(order.orderId(), unused -> passed);
      return passed.compareTo(since.plus(settings.unknownEngineTimeout())) >= 0
          ? OrderState_.FAILED
          : OrderState_.WAIT;
    }
    missingSince.remove(order.orderId());
    if (isCarriedOut(order, engine.get())) {
      return OrderState_.DONE;
    }
    Sent before = sent.get(order.orderId());
    if (before != null && before.isRefused) {
      return OrderState_.FAILED;
    }
    boolean isDue =
        before == null || passed.compareTo(before.at.plus(settings.resendInterval())) >= 0;
    if (isDue && (engine.get().checksFencing() || lease.isPastOldOrders())) {
      send(order, engine.get(), lease, output);
    }
    return OrderState_.WAIT;
  }

  private void send(Order order, Announcement engine, LeaseHolder lease, Output output) {
    Invariants.check(
        engine.checksFencing() || lease.isPastOldOrders(),
        "an engine that ignores fencing numbers gets orders of one holder at a time");
    sent.put(order.orderId(), new Sent(lease.passed(), false, true));
    output.effect(
        new SendOrder(
            order.orderId(),
            engine.id(),
            engine.host(),
            engine.port(),
            lease.number(),
            order.kind().wireName(),
            order.version(),
            order.argument(),
            settings.orderTimeout().toMillis()));
    output.effect(new TraceEffect.Count("orders_sent", order.kind().wireName(), 1));
  }

  private static boolean isCarriedOut(Order order, Announcement engine) {
    boolean isLoaded = EngineView.hasLoaded(engine, order.version());
    return switch (order.kind()) {
      case LOAD -> isLoaded && (order.argument().isEmpty() || hasAdapter(order, engine));
      case UNLOAD -> !isLoaded;
      case ROLE -> engine.role().equals(order.argument());
    };
  }

  private static boolean hasAdapter(Order order, Announcement engine) {
    return engine.models().stream()
        .filter(loaded -> loaded.model().equals(order.version().model()))
        .filter(loaded -> loaded.version().equals(order.version().version()))
        .anyMatch(loaded -> loaded.adapters().contains(order.argument()));
  }

  /** Takes an engine's answer; returns whether it knows a newer holder of the lease. */
  boolean onAnswered(OrderAnswered answered, String upstream, Duration passed) {
    Sent before = sent.get(answered.orderId());
    if (before == null) {
      return false;
    }
    boolean isRefused = answered.outcome() == OrderOutcome.REFUSED;
    sent.put(answered.orderId(), new Sent(before.at, isRefused, false));
    if (isRefused) {
      passedOverUntil.put(upstream, passed.plus(settings.refusalBackoff()));
    }
    return answered.outcome() == OrderOutcome.STALE;
  }

  /** Returns whether an engine refused an order a short while ago. */
  boolean isPassedOver(String upstream, Duration passed) {
    return passed.compareTo(passedOverUntil.getOrDefault(upstream, Duration.ZERO)) < 0;
  }

  /** Returns whether no order sent from here can still be carried out. */
  boolean isIdle(Duration passed) {
    return sent.values().stream().noneMatch(one -> isOnItsWay(one, passed));
  }

  /** Forgets orders that are no longer open and not on their way. */
  void keepOnly(Set<String> openOrderIds, Duration passed) {
    Set<String> over = new HashSet<>(sent.keySet());
    over.removeAll(openOrderIds);
    over.removeIf(orderId -> isOnItsWay(sent.get(orderId), passed));
    sent.keySet().removeAll(over);
    missingSince.keySet().retainAll(openOrderIds);
  }

  private boolean isOnItsWay(Sent one, Duration passed) {
    return one.isOnItsWay && passed.compareTo(one.at.plus(settings.orderTimeout())) < 0;
  }

  private record Sent(Duration at, boolean isRefused, boolean isOnItsWay) {}
}
