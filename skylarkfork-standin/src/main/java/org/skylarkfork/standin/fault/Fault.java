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
 * @param delayMillis the added delay in milliseconds, for late and second answers and slow work; 0
 *     if null
 * @param second what second answers look like, for that kind only; whole and equal to the first if
 *     null
 */
public record Fault(
    FaultKind kind,
    @Nullable String version,
    @Nullable Double rate,
    @Nullable Long delayMillis,
    @Nullable SecondAnswer second) {

  /**
   * Checks the values.
   *
   * @throws IllegalArgumentException if the rate is not from 0 to 1, the delay is negative, or
   *     another kind describes second answers
   */
  public Fault {
    Objects.requireNonNull(kind, "Name the kind of the fault.");
    if (rate != null && !(rate >= 0 && rate <= 1)) {
      throw new IllegalArgumentException("Give a rate from 0 to 1.");
    }
    if (delayMillis != null && delayMillis < 0) {
      throw new IllegalArgumentException("Give a delay of 0 ms or more.");
    }
    if (second != null && kind != FaultKind.SECOND_ANSWERS) {
      throw new IllegalArgumentException("Describe second answers with their kind only.");
    }
  }

  /**
   * Makes a fault that needs no description of second answers.
   *
   * @param kind the way to fail
   * @param version the only version that fails; all fail if null
   * @param rate the share of requests that fail, from 0 to 1; all fail if null
   * @param delayMillis the added delay in milliseconds; 0 if null
   */
  public Fault(
      FaultKind kind, @Nullable String version, @Nullable Double rate, @Nullable Long delayMillis) {
    this(kind, version, rate, delayMillis, null);
  }

  /**
   * Makes a fault of every request without a delay.
   *
   * @param kind the way to fail
   * @return the fault
   */
  public static Fault of(FaultKind kind) {
    return new Fault(kind, null, null, null, null);
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
