package org.skylarkfork.runtime.relay;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Supplier;
import org.skylarkfork.core.relay.BackedOffUpstream;
import org.skylarkfork.runtime.codec.Codec;

/**
 * Answers the calls at a daemon's metrics address: {@code GET /relay/v1/backoffs} with the
 * upstreams that have asked this entry for a backoff, as JSON, and any other call with the metrics.
 */
final class EntryStatusPages {

  private static final String BACKOFFS = "/relay/v1/backoffs";
  private static final int OK = 200;

  private final Supplier<String> metrics;
  private final Supplier<List<BackedOffUpstream>> backoffs;

  private record Backoffs(List<BackedOffUpstream> upstreams) {}

  /**
   * Creates the handler.
   *
   * @param metrics returns the metrics as text
   * @param backoffs returns the upstreams that have asked for a backoff
   */
  EntryStatusPages(Supplier<String> metrics, Supplier<List<BackedOffUpstream>> backoffs) {
    this.metrics = metrics;
    this.backoffs = backoffs;
  }

  HttpReply answer(HttpCall call) {
    return call.path().equals(BACKOFFS)
        ? reply("application/json", new Codec().toJson(new Backoffs(backoffs.get())))
        : reply("text/plain", metrics.get());
  }

  private static HttpReply reply(String type, String text) {
    return new HttpReply(OK, type, text.getBytes(StandardCharsets.UTF_8));
  }
}
