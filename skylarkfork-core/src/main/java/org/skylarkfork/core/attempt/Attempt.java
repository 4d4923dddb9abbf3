package org.skylarkfork.core.attempt;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.upstream.Announcement;

/** One dispatch of a request to one upstream. */
final class Attempt {

  final String id;
  final String upstream;
  final Announcement target;
  final @Nullable ModelVersion version;
  final Instant dispatchedAt;

  /** How long the upstream may be silent; less after the first token. */
  Duration timeout;

  /** Tokens of the answer that were there before this attempt. */
  long resumeOffset;

  /** When the upstream was last heard of; a plain service is heard of only once. */
  Instant lastProgressAt;

  @Nullable Instant firstTokenAt;

  /** Tokens that this attempt added to the answer. */
  int tokens;

  Attempt(
      String id,
      Announcement target,
      @Nullable ModelVersion version,
      Instant now,
      Duration timeout) {
    this.id = id;
    this.upstream = target.id();
    this.target = target;
    this.version = version;
    this.dispatchedAt = now;
    this.lastProgressAt = now;
    this.timeout = timeout;
  }

  Instant timeoutAt() {
    return lastProgressAt.plus(timeout);
  }

  @Nullable Long firstTokenMillis() {
    return firstTokenAt == null ? null : Duration.between(dispatchedAt, firstTokenAt).toMillis();
  }
}
