package org.skylarkfork.standin.engine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import org.skylarkfork.standin.http.ErrorBody;
import org.skylarkfork.standin.http.Exchange;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Carries orders out, each once, and refuses old fencing numbers if it is set to. */
final class OrderHandler {

  private static final int MAX_ORDERS = 10_000;
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int BAD_GATEWAY = 502;

  private final boolean checksFencing;
  private final LoadedModels models;
  private final WeightLoader weights;
  private final EngineCounters counters;
  private final Map<String, Mono<Void>> orders = new LinkedHashMap<>();
  private long newestFencingNumber;

  OrderHandler(
      boolean checksFencing, LoadedModels models, WeightLoader weights, EngineCounters counters) {
    this.checksFencing = checksFencing;
    this.models = models;
    this.weights = weights;
    this.counters = counters;
  }

  /** Says that an order was carried out. */
  record Done(boolean done) {}

  /** Says that an order came from an earlier holder. */
  record Stale(String error, long newest) {}

  Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    return Exchange.withBody(request, response, Order.class, order -> answer(response, order));
  }

  private Mono<Void> answer(HttpServerResponse response, Order order) {
    if (!order.complete()) {
      return Exchange.refuse(response, 400, "Name all that the order needs.", "malformed_order");
    }
    long newest = newestAfter(order);
    if (checksFencing && order.fencingNumber() < newest) {
      Logger.info("orders: refused {} with an old fencing number", order.orderId());
      return Exchange.json(response, CONFLICT, new Stale("stale fencing number", newest));
    }
    return execution(order)
        .then(Mono.defer(() -> Exchange.json(response, OK, new Done(true))))
        .onErrorResume(
            LoadFailedException.class,
            error ->
                Exchange.json(
                    response,
                    BAD_GATEWAY,
                    ErrorBody.of(String.valueOf(error.getMessage()), "failed", "load_failed")));
  }

  private synchronized long newestAfter(Order order) {
    newestFencingNumber = Math.max(newestFencingNumber, order.fencingNumber());
    return newestFencingNumber;
  }

  /** Gives the one execution of an order, which a resend joins; a failed one may be tried again. */
  private synchronized Mono<Void> execution(Order order) {
    Mono<Void> known = orders.get(order.orderId());
    if (known != null) {
      return known;
    }
    Mono<Void> execution = execute(order).doOnError(error -> forget(order.orderId())).cache();
    orders.put(order.orderId(), execution);
    if (orders.size() > MAX_ORDERS) {
      orders.remove(orders.keySet().iterator().next());
    }
    return execution;
  }

  private synchronized void forget(String orderId) {
    orders.remove(orderId);
  }

  private Mono<Void> execute(Order order) {
    return switch (order.kind()) {
      case ROLE ->
          Mono.fromRunnable(
              () -> {
                models.takeRole(Objects.requireNonNull(order.role()));
                counters.orders().incrementAndGet();
              });
      case LOAD -> {
        String model = Objects.requireNonNull(order.model());
        String version = Objects.requireNonNull(order.version());
        yield weights
            .load(model, version)
            .then(
                Mono.fromRunnable(
                    () -> {
                      models.load(model, version, order.adapter());
                      counters.orders().incrementAndGet();
                    }));
      }
      case UNLOAD ->
          Mono.fromRunnable(
              () -> {
                String model = Objects.requireNonNull(order.model());
                models.unload(model, Objects.requireNonNull(order.version()), order.adapter());
                counters.orders().incrementAndGet();
              });
    };
  }
}
