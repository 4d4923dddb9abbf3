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
 * Sends recorded orders and determines their outcomes, during one tenure of the lease.
 *
 * <p>An order is done once its engine's announcement shows the result. An order whose outcome is
 * unknown is sent again under the same id, by this holder or the next one.
 */
final class OrderDispatcher {

  private final OrderSettings settings;
  private final Map<String, Sent> sent = new HashMap<>();
  private final Map<String, Duration> missingSince = new HashMap<>();
  private final Map<String, Duration> refusalBackoffUntil = new HashMap<>();

  OrderDispatcher(OrderSettings settings) {
    this.settings = settings;
  }

  /** Present status of an open order. */
  enum DispatchStatus {
    /** The outcome is not known yet. */
    WAIT,
    /** The engine's announcement shows that the order is carried out. */
    DONE,
    /** The order will not be carried out. */
    FAILED
  }

  /**
   * Determines the status of an open order, and sends the order if it is due.
   *
   * @param order the order
   * @param engine newest announcement of the order's engine, or empty if the engine is unknown
   * @param lease the lease, which must be valid
   */
  DispatchStatus process(
      Order order, Optional<Announcement> engine, LeaseHolder lease, Output output) {
    Duration elapsed = lease.elapsed();
    if (engine.isEmpty()) {
      Duration since = missingSince.computeIfAbsent(order.orderId(), unused -> elapsed);
      return elapsed.compareTo(since.plus(settings.unknownEngineTimeout())) >= 0
          ? DispatchStatus.FAILED
          : DispatchStatus.WAIT;
    }
    missingSince.remove(order.orderId());
    if (isCarriedOut(order, engine.get())) {
      return DispatchStatus.DONE;
    }
    Sent last = sent.get(order.orderId());
    if (last != null && last.isRefused) {
      return DispatchStatus.FAILED;
    }
    boolean isDue = last == null || elapsed.compareTo(last.at.plus(settings.resendInterval())) >= 0;
    if (isDue && (engine.get().checksFencing() || lease.areOldOrdersExpired())) {
      send(order, engine.get(), lease, output);
    }
    return DispatchStatus.WAIT;
  }

  private void send(Order order, Announcement engine, LeaseHolder lease, Output output) {
    Invariants.check(
        engine.checksFencing() || lease.areOldOrdersExpired(),
        "an engine that ignores fencing numbers receives orders of one holder at a time");
    sent.put(order.orderId(), new Sent(lease.elapsed(), false, true));
    output.effect(
        new SendOrder(
            order.orderId(),
            engine.id(),
            engine.host(),
            engine.port(),
            lease.fencingNumber(),
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

  /**
   * Handles an engine's answer; returns whether the engine has received orders of a newer holder.
   */
  boolean onAnswered(OrderAnswered answered, String upstream, Duration elapsed) {
    Sent last = sent.get(answered.orderId());
    if (last == null) {
      return false;
    }
    boolean isRefused = answered.outcome() == OrderOutcome.REFUSED;
    sent.put(answered.orderId(), new Sent(last.at, isRefused, false));
    if (isRefused) {
      refusalBackoffUntil.put(upstream, elapsed.plus(settings.refusalBackoff()));
    }
    return answered.outcome() == OrderOutcome.STALE;
  }

  /**
   * Returns whether an engine refused an order within the last {@link
   * OrderSettings#refusalBackoff}.
   */
  boolean hasRefusedRecently(String upstream, Duration elapsed) {
    return elapsed.compareTo(refusalBackoffUntil.getOrDefault(upstream, Duration.ZERO)) < 0;
  }

  /** Returns whether none of the orders sent here can still be carried out. */
  boolean isIdle(Duration elapsed) {
    return sent.values().stream().noneMatch(one -> isInFlight(one, elapsed));
  }

  /** Removes the orders that are neither open nor in flight. */
  void retainOpen(Set<String> openOrderIds, Duration elapsed) {
    Set<String> obsolete = new HashSet<>(sent.keySet());
    obsolete.removeAll(openOrderIds);
    obsolete.removeIf(orderId -> isInFlight(sent.get(orderId), elapsed));
    sent.keySet().removeAll(obsolete);
    missingSince.keySet().retainAll(openOrderIds);
  }

  private boolean isInFlight(Sent one, Duration elapsed) {
    return one.isInFlight && elapsed.compareTo(one.at.plus(settings.orderTimeout())) < 0;
  }

  private record Sent(Duration at, boolean isRefused, boolean isInFlight) {}
}
