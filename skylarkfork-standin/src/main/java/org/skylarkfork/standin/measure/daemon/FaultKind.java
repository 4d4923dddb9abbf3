package org.skylarkfork.standin.measure.daemon;

import java.util.Locale;

/** A fault that a run has between {@link Deployment#FAULT_BEGIN} and the fault's end. */
public enum FaultKind {
  /** The version that is rolled out turns bad at once. */
  BAD_SUDDEN,
  /** The version that is rolled out turns bad over a minute. */
  BAD_SLOW,
  /** One engine takes drafts and never answers, but still announces itself. */
  ENGINE_SILENT,
  /** One lookup server takes calls and never answers, but still announces itself. */
  SERVICE_SILENT,
  /** One in ten streams is cut, and one in twenty answers of services is lost. */
  CUT_STREAMS,
  /** One in a hundred answers names another request, and some come twice. */
  CROSSED_ANSWERS,
  /** Half of the engines refuse all new drafts. */
  POOL_FULL,
  /** One engine and one lookup server are five times slower. */
  SLOW_UPSTREAM,
  /** One engine and one lookup server leave and end. */
  UPSTREAM_LEAVING,
  /** No rating comes. */
  RATING_MISSING,
  /** A good version is rolled out in steps. */
  ROLL_OUT,
  /** The operator withdraws a version. */
  WITHDRAWAL;

  /** Returns the form used in options and reports, such as {@code engine-silent}. */
  public String option() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the fault with an option's name; fails if there is none. */
  public static FaultKind ofOption(String option) {
    return valueOf(option.strip().toUpperCase(Locale.ROOT).replace('-', '_'));
  }

  /** Returns whether the fault makes a version bad. */
  public boolean isBadVersion() {
    return this == BAD_SUDDEN || this == BAD_SLOW;
  }
}
