package org.skylarkfork.runtime.http;

import java.util.concurrent.CompletableFuture;

/** Questions of the caller's listener that the reducer's state answers, as JSON-ready records. */
public interface EdgeQueries {

  /**
   * Returns the models that the owner of a key may use.
   *
   * @param keyHash SHA-256 of the team key in hex
   * @return the list; fails with {@code BadRequestException} for an unknown key
   */
  CompletableFuture<ModelList> models(String keyHash);

  /** Returns the entries that callers should use. */
  CompletableFuture<Object> entries();

  /** Returns the milliseconds after which an upstream that announces itself here does so again. */
  CompletableFuture<Long> announceMillis();

  /** Returns whether this daemon takes new work. */
  CompletableFuture<Readiness> readiness();

  /**
   * Whether a daemon takes new work.
   *
   * @param ready whether it does
   * @param reason why not, or empty
   * @param revision revision of the configuration in force here
   */
  record Readiness(boolean ready, String reason, long revision) {}
}
