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
import org.skylarkfork.core.event.UpstreamEvent.Moment;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.core.request.Header;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/** Sends calls to plain services and reads their whole answers. */
final class ServiceClient {

  private static final List<String> DROPPED_HEADERS =
      List.of("connection", "transfer-encoding", "content-length", "keep-alive", "x-request-id");

  private final HttpClient client;

  ServiceClient(HttpClient client) {
    this.client = client;
  }

  /** Starts an attempt; its one event goes through the call. */
  void send(UpstreamEffect.DispatchCall effect, UpstreamCall call) {
    byte[] body = effect.request().body().value();
    call.connection(
        Moments.observed(client, call)
            .headers(
                headers -> {
                  for (Header header : effect.request().headers()) {
                    headers.set(header.name(), header.value());
                  }
                  headers.set(HttpNames.REQUEST_ID, effect.request().requestId());
                  headers.set("Content-Length", body.length);
                })
            .request(HttpMethod.valueOf(effect.request().method()))
            .uri("http://" + effect.host() + ":" + effect.port() + effect.request().path())
            .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
            .responseSingle((response, content) -> read(response, content, call))
            .timeout(Duration.ofMillis(effect.timeoutMillis()))
            .subscribe(
                ignored -> {},
                failure -> call.fail(String.valueOf(failure.getMessage())),
                () -> call.fail("the answer ended early")));
  }

  private static Mono<Void> read(
      HttpClientResponse response, ByteBufMono content, UpstreamCall call) {
    call.reached(Moment.ANSWER_BEGUN);
    boolean notStarted =
        "true".equalsIgnoreCase(response.responseHeaders().get(HttpNames.NOT_STARTED));
    return content
        .asByteArray()
        .defaultIfEmpty(new byte[0])
        .doOnNext(
            body -> {
              if (notStarted) {
                call.fail(Moment.REFUSED_NOT_STARTED, response.status().toString());
              } else {
                call.end(answered(response, body, call));
              }
            })
        .then();
  }

  private static UpstreamEvent answered(
      HttpClientResponse response, byte[] body, UpstreamCall call) {
    List<Header> headers = new ArrayList<>();
    for (Map.Entry<String, String> entry : response.responseHeaders()) {
      String name = entry.getKey().toLowerCase(Locale.ROOT);
      if (!DROPPED_HEADERS.contains(name)) {
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
