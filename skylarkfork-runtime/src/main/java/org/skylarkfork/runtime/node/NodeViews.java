package org.skylarkfork.runtime.node;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.skylarkfork.core.configuration.OperatorKey;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.runtime.http.AdminQueries;
import org.skylarkfork.runtime.http.BadRequestException;
import org.skylarkfork.runtime.loop.ReducerLoop;
import org.skylarkfork.runtime.settings.DaemonSettings;
import org.skylarkfork.runtime.transport.TransportCounts;

/** Answers operators' questions from the state of the parts(). */
final class NodeViews implements AdminQueries {

  private final ReducerLoop loop;
  private final Supplier<NodeParts> source;
  private final DaemonSettings settings;
  private final NodeGauges gauges;
  private final Supplier<TransportCounts> transport;

  NodeViews(
      ReducerLoop loop,
      Supplier<NodeParts> source,
      DaemonSettings settings,
      NodeGauges gauges,
      Supplier<TransportCounts> transport) {
    this.gauges = gauges;
    this.transport = transport;
    this.loop = loop;
    this.source = source;
    this.settings = settings;
  }

  private NodeParts parts() {
    return source.get();
  }

  @Override
  public CompletableFuture<Boolean> isOperator(String keyHash) {
    return loop.ask(now -> known(keyHash));
  }

  private boolean known(String keyHash) {
    var keys = parts().configuration().current().operatorKeys();
    if (keys.isEmpty()) {
      return keyHash.equals(settings.bootstrapOperatorKeySha256());
    }
    return keys.stream().map(OperatorKey::sha256).anyMatch(keyHash::equals);
  }

  @Override
  public CompletableFuture<Object> view(String view, String argument) {
    return loop.ask(now -> show(view, argument, now));
  }

  private Object show(String view, String argument, Instant now) {
    return switch (view) {
      case "members" -> parts().membership().live();
      case "upstreams" -> parts().directory().all();
      case "entries" -> parts().entries().entries(now);
      case "groups" -> parts().consensus().statuses();
      case "statement" -> statement(argument);
      case "orders" -> parts().orderMachine().intents();
      default ->
          throw new BadRequestException(
              RoutingError.notRun(
                  ErrorKind.NOT_FOUND,
                  "There is no view '" + view + "'. See docs/OPERATIONS.md for the views."));
    };
  }

  @Override
  public CompletableFuture<Boolean> refreshGauges() {
    return loop.ask(
        now -> {
          gauges.refresh(parts(), transport.get(), now);
          return true;
        });
  }

  private Object statement(String team) {
    if (!settings.isVoter()) {
      throw new BadRequestException(
          RoutingError.notRun(
              ErrorKind.NOT_FOUND,
              "This daemon hosts no ledger. Ask one of " + settings.voters() + "."));
    }
    return parts().ledgerMachine().statement(team);
  }
}
