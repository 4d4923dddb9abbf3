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

  /** Longest time without progress before the attempt fails; shorter after the first token. */
  Duration timeout;

  /** Number of answer tokens received before this attempt, from which the attempt resumes. */
  long resumeOffset;

  /** When tokens last arrived, or the dispatch time; a service sends only one event, its answer. */
  Instant lastProgressAt;

  @Nullable Instant firstTokenAt;

  /** Number of tokens that this attempt added to the answer. */
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
