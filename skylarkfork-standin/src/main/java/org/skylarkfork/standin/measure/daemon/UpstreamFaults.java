package org.skylarkfork.standin.measure.daemon;

/** What is wrong with one upstream at present. */
final class UpstreamFaults {

  /** Takes work and never answers. */
  boolean silent;

  /** Takes no new work and says so. */
  boolean refusing;

  /** Breaks some answers off. */
  boolean cutting;

  /** Gives some answers to another request, or twice. */
  boolean crossing;

  /** Announces that it wants no new work. */
  boolean leaving;

  /** Has ended. */
  boolean gone;

  /** How many times slower than usual it is. */
  double slowness = 1;
}
