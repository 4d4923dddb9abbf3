package org.skylarkfork.runtime.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.event.UpstreamEvent.AttemptStage;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.core.request.Header;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/** Sends calls to plain services and reads their whole answers. */
final class ServiceClient {

  private static final List<String> DROPPED_HEADERS =
      List.of(
          "connection",
          "transfer-encoding",
          "content-length",
          "keep-alive",
          "proxy-authenticate",
          "trailer",
          "upgrade",
          "x-request-id");
  private static final String OWN_HEADERS = "skylarkfork-";

  private final HttpClient client;
  private final int maxAnswerBytes;

  ServiceClient(HttpClient client, int maxAnswerBytes) {
    this.client = client;
    this.maxAnswerBytes = maxAnswerBytes;
  }

  /** Starts an attempt; its one event goes through the call. */
  void send(UpstreamEffect.DispatchCall effect, UpstreamCall call) {
    if (effect.request().headers().stream().anyMatch(ServiceClient::isUnsafe)) {
      call.fail(AttemptStage.BEFORE_CONNECT, "a header holds control characters");
      return;
    }
    byte[] body = effect.request().body().value();
    ExchangeConnection exchange = new ExchangeConnection();
    call.connection(
        exchange
            .observed(StageObserver.observed(client, call))
            .headers(
                headers -> {
                  for (Header header : effect.request().headers()) {
                    headers.add(header.name(), header.value());
                  }
                  headers.set(HttpNames.REQUEST_ID, effect.request().requestId());
                  headers.set("Content-Length", body.length);
                })
            .request(HttpMethod.valueOf(effect.request().method()))
            .uri("http://" + effect.host() + ":" + effect.port() + effect.request().path())
            .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
            .response(
                (response, content) -> read(effect.request().requestId(), response, content, call))
            .transform(exchange::closedOnCancel)
            .then()
            .timeout(Duration.ofMillis(effect.timeoutMillis()))
            .subscribe(
                ignored -> {},
                failure -> call.fail(String.valueOf(failure.getMessage())),
                () -> call.fail("the answer ended early")));
  }

  /** The HTTP library writes a value with a line end as it is, which would add a header. */
  private static boolean isUnsafe(Header header) {
    return header.value().chars().anyMatch(one -> one != '\t' && Character.isISOControl(one));
  }

  private Mono<Void> read(
      String requestId, HttpClientResponse response, ByteBufFlux content, UpstreamCall call) {
    call.reached(AttemptStage.ANSWER_BEGUN);
    boolean notStarted =
        Refusals.isNotStarted(response) && !Refusals.namesOther(requestId, response);
    return BoundedBody.collect(content, maxAnswerBytes, this::tooLong, call::holds)
        .doOnNext(
            body -> {
              if (notStarted) {
                call.fail(AttemptStage.REFUSED_NOT_STARTED, response.status().toString());
              } else {
                call.end(answered(response, body, call));
              }
            })
        .then();
  }

  private IllegalArgumentException tooLong() {
    return new IllegalArgumentException("the answer is over " + maxAnswerBytes + " bytes");
  }

  private static UpstreamEvent answered(
      HttpClientResponse response, byte[] body, UpstreamCall call) {
    List<Header> headers = new ArrayList<>();
    for (Map.Entry<String, String> entry : response.responseHeaders()) {
      String name = entry.getKey().toLowerCase(Locale.ROOT);
      if (!DROPPED_HEADERS.contains(name) && !name.startsWith(OWN_HEADERS)) {
        headers.add(new Header(name, entry.getValue()));
      }
    }
    return new UpstreamEvent.ServiceAnswered(
        call.attemptId(),
        response.responseHeaders().get(HttpNames.REQUEST_ID),
        response.status().code(),
        headers,
        new Bytes(body));
  }
}
