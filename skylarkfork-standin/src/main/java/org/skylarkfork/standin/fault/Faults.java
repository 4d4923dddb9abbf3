package org.skylarkfork.standin.fault;

import java.time.Duration;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.standin.text.Hash;

/** The faults that are in force, one of each kind at most; safe for use by several threads. */
public final class Faults {

  private final long seed;
  private final Map<FaultKind, Fault> faults = new EnumMap<>(FaultKind.class);

  /**
   * Makes a set without faults.
   *
   * @param seed decides which requests a fault with a rate below 1 strikes
   */
  public Faults(long seed) {
    this.seed = seed;
  }

  /**
   * Puts a fault in force in place of an earlier one of its kind.
   *
   * @param fault the fault; the kind {@code none} ends all
   */
  public synchronized void set(Fault fault) {
    if (fault.kind() == FaultKind.NONE) {
      faults.clear();
    } else {
      faults.put(fault.kind(), fault);
    }
  }

  /**
   * Lists the faults in force.
   *
   * @return a copy
   */
  public synchronized Collection<Fault> present() {
    return List.copyOf(faults.values());
  }

  /**
   * Tells whether a fault is in force for the whole stand-in.
   *
   * @param kind the kind of fault
   * @return whether it is, for whatever version and rate
   */
  public synchronized boolean active(FaultKind kind) {
    return faults.containsKey(kind);
  }

  /**
   * Tells whether a fault strikes a request, the same for the same arguments.
   *
   * @param kind the kind of fault
   * @param modelKey the model and version, or the name of the service
   * @param requestId the id of the request
   * @return whether it does
   */
  public synchronized boolean strikes(FaultKind kind, String modelKey, String requestId) {
    Fault fault = faults.get(kind);
    return fault != null && fault.concerns(modelKey) && drawn(fault, requestId);
  }

  /**
   * Gives the delay that a fault adds.
   *
   * @param kind the kind of fault
   * @return the delay, or zero if no such fault is in force
   */
  public synchronized Duration delay(FaultKind kind) {
    @Nullable Fault fault = faults.get(kind);
    return fault == null ? Duration.ZERO : Duration.ofMillis(fault.delay());
  }

  /**
   * Plans the second answer to a request, the same for the same arguments.
   *
   * @param modelKey the model and version, or the name of the service
   * @param requestId the id of the request
   * @return the second answer, or empty if the request is answered once
   */
  public synchronized Optional<PlannedAnswer> secondAnswer(String modelKey, String requestId) {
    Fault fault = faults.get(FaultKind.SECOND_ANSWERS);
    if (fault == null || !strikes(FaultKind.SECOND_ANSWERS, modelKey, requestId)) {
      return Optional.empty();
    }
    SecondAnswer second = fault.second() == null ? SecondAnswer.EQUAL : fault.second();
    double cutAt = draw("cut", requestId);
    return Optional.of(
        new PlannedAnswer(
            second.form(), second.afterFailure(), Duration.ofMillis(fault.delay()), cutAt));
  }

  private boolean drawn(Fault fault, String requestId) {
    return fault.share() >= 1 || draw(fault.kind().toString(), requestId) < fault.share();
  }

  private double draw(String purpose, String requestId) {
    long key = Hash.of(seed + "\n" + purpose + "\n" + requestId);
    return RandomSource.XO_SHI_RO_256_PP.create(key).nextDouble();
  }
}
