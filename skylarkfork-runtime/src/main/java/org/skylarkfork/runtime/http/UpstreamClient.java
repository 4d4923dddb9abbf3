package org.skylarkfork.runtime.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.ChannelOption;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.event.UpstreamEvent.OrderOutcome;
import org.skylarkfork.runtime.limits.AnswerBuffers;
import org.skylarkfork.runtime.limits.MemoryBudget;
import org.tinylog.Logger;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.tcp.TcpClient;

/** Calls upstreams and supporting services over HTTP. */
public final class UpstreamClient implements AutoCloseable {

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

  /**
   * Maximum number of bytes received for one request, which leaves chunks room beside an answer.
   */
  private static final long MAX_WIRE_BYTES = 2L * MAX_ANSWER_BYTES;

  private static final int MAX_CONNECTIONS_PER_UPSTREAM = 1_000;

  private final ConnectionProvider pool;
  private final DraftClient drafts;
  private final DraftClient draftsOnce;
  private final ServiceClient services;
  private final ServiceClient servicesOnce;
  private final SupportClient support;
  private final AnswerBuffers answers = MemoryBudget.ofProcess().heapAnswers();
  private final Consumer<Event> events;
  private final Map<String, Running> running = new ConcurrentHashMap<>();

  /**
   * Makes a client.
   *
   * @param json reads and writes JSON
   * @param ratingAddress IP number and port of the rating service, or null if there is none
   * @param events takes what comes of the calls
   */
  public UpstreamClient(ObjectMapper json, @Nullable String ratingAddress, Consumer<Event> events) {
    this(json, ratingAddress, events, MAX_ANSWER_BYTES);
  }

  /** Makes a client with another bound on answers. */
  UpstreamClient(
      ObjectMapper json,
      @Nullable String ratingAddress,
      Consumer<Event> events,
      int maxAnswerBytes) {
    this.events = events;
    this.pool =
        ConnectionProvider.builder("upstreams")
            .maxConnections(MAX_CONNECTIONS_PER_UPSTREAM)
            .pendingAcquireMaxCount(-1)
            .pendingAcquireTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MILLIS))
            .maxIdleTime(Duration.ofSeconds(5))
            .build();
    HttpClient pooled = SecondHeadGuard.guarded(configured(HttpClient.create(pool)));
    HttpClient fresh = configured(HttpClient.newConnection());
    HttpClient once = SecondHeadGuard.guarded(fresh);
    this.drafts = new DraftClient(pooled, json, maxAnswerBytes);
    this.draftsOnce = new DraftClient(once, json, maxAnswerBytes);
    this.services = new ServiceClient(pooled, maxAnswerBytes);
    this.servicesOnce = new ServiceClient(once, maxAnswerBytes);
    this.support = new SupportClient(fresh, json, ratingAddress, events);
  }

  /**
   * Turns the client's own retry off. It sends a request again when a kept connection turns out to
   * be closed, and the upstream may have read the first one: the request would run twice.
   */
  private HttpClient configured(HttpClient client) {
    HttpClient limited =
        WireBytesLimit.limited(AnswerCodec.installed(client, answers), MAX_WIRE_BYTES);
    return InterimAnswerFilter.filtered(limited)
        .disableRetry(true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
  }

  /** Starts to execute an effect. */
  public void execute(UpstreamEffect effect) {
    if (effect instanceof UpstreamEffect.DispatchDraft draft) {
      UpstreamCall call = begin(draft.attemptId(), draft);
      (draft.laterAttempt() ? draftsOnce : drafts).send(draft, call);
    } else if (effect instanceof UpstreamEffect.DispatchCall call) {
      dispatch(call);
    } else if (effect instanceof UpstreamEffect.CancelAttempt cancel) {
      cancel(cancel.attemptId());
    } else if (effect instanceof UpstreamEffect.ProbeUpstream probe) {
      probe(probe);
    } else if (effect instanceof UpstreamEffect.RequestRating rating) {
      support.rate(rating);
    } else if (effect instanceof UpstreamEffect.SendOrder order) {
      support.order(order);
    }
  }

  /** Reports the failed outcome of an effect whose execution has failed. */
  public void onFailed(UpstreamEffect effect, Throwable failure) {
    String detail = String.valueOf(failure.getMessage());
    if (effect instanceof UpstreamEffect.DispatchDraft draft) {
      failAttempt(draft.attemptId(), detail);
    } else if (effect instanceof UpstreamEffect.DispatchCall call) {
      failAttempt(call.attemptId(), detail);
    } else if (effect instanceof UpstreamEffect.ProbeUpstream probe) {
      events.accept(new UpstreamEvent.UpstreamProbed(probe.upstream(), false));
    } else if (effect instanceof UpstreamEffect.RequestRating rating) {
      events.accept(
          new UpstreamEvent.RatingMissing(rating.requestId(), rating.attemptId(), detail));
    } else if (effect instanceof UpstreamEffect.SendOrder order) {
      events.accept(
          new UpstreamEvent.OrderAnswered(order.orderId(), OrderOutcome.UNKNOWN, null, detail));
    }
  }

  private void failAttempt(String attemptId, String detail) {
    Running failed = running.get(attemptId);
    if (failed != null) {
      failed.call().fail(detail);
    }
  }

  /** Opens a connection of its own: a kept one says nothing of an upstream that has ended. */
  private void probe(UpstreamEffect.ProbeUpstream effect) {
    TcpClient.newConnection()
        .host(effect.host())
        .port(effect.port())
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .connect()
        .subscribe(
            connection -> {
              connection.dispose();
              events.accept(new UpstreamEvent.UpstreamProbed(effect.upstream(), true));
            },
            failure -> {
              Logger.debug("upstream: {} takes no connection: {}", effect, failure.getMessage());
              events.accept(new UpstreamEvent.UpstreamProbed(effect.upstream(), false));
            });
  }

  /**
   * Uses a new connection for each method that changes something: a kept one may be closed by the
   * upstream at any time, after which nobody can tell whether the request was read. A later attempt
   * gets one as well, since a late answer to an earlier attempt names the same request.
   */
  private void dispatch(UpstreamEffect.DispatchCall effect) {
    UpstreamCall call = begin(effect.attemptId(), null);
    boolean read =
        effect.request().method().equals("GET") || effect.request().method().equals("HEAD");
    (read && !effect.laterAttempt() ? services : servicesOnce).send(effect, call);
  }

  private UpstreamCall begin(String attemptId, UpstreamEffect.@Nullable DispatchDraft draft) {
    UpstreamCall call = new UpstreamCall(attemptId, this::passOn, answers);
    running.put(attemptId, new Running(call, draft));
    return call;
  }

  private void passOn(Event event) {
    if (event instanceof UpstreamEvent.DraftFinished finished) {
      running.remove(finished.attemptId());
    } else if (event instanceof UpstreamEvent.ServiceAnswered answered) {
      running.remove(answered.attemptId());
    } else if (event instanceof UpstreamEvent.AttemptFailed failed) {
      running.remove(failed.attemptId());
    }
    events.accept(event);
  }

  private void cancel(String attemptId) {
    Running gone = running.remove(attemptId);
    if (gone != null && gone.call().cancel() && gone.draft() != null) {
      support.cancel(gone.draft());
    }
  }

  /** Closes all connections. */
  @Override
  public void close() {
    running.values().forEach(gone -> gone.call().cancel());
    pool.dispose();
  }

  private record Running(UpstreamCall call, UpstreamEffect.@Nullable DispatchDraft draft) {}
}
