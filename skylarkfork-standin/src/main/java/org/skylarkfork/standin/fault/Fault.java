package org.skylarkfork.standin.fault;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * A fault that a stand-in shows until it is told otherwise.
 *
 * @param kind the way to fail
 * @param version the only version that fails, as {@code version} or {@code model:version}; all fail
 *     if null
 * @param rate the share of requests that fail, from 0 to 1; all fail if null
 * @param delayMillis the added delay in milliseconds, for late answers and slow work; 0 if null
 */
public record Fault(
    FaultKind kind, @Nullable String version, @Nullable Double rate, @Nullable Long delayMillis) {

  /** Checks the kind. */
  public Fault {
    Objects.requireNonNull(kind, "Name the kind of the fault.");
  }

  /**
   * Makes a fault of every request without a delay.
   *
   * @param kind the way to fail
   * @return the fault
   */
  public static Fault of(FaultKind kind) {
    return new Fault(kind, null, null, null);
  }

  boolean concerns(String modelKey) {
    return version == null || modelKey.equals(version) || modelKey.endsWith(":" + version);
  }

  double share() {
    return rate == null ? 1 : rate;
  }

  long delay() {
    return delayMillis == null ? 0 : delayMillis;
  }
}
