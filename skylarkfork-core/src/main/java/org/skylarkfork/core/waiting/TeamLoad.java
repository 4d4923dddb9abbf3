package org.skylarkfork.core.waiting;

/** The calls of one team at one service. */
final class TeamLoad {

  final String name;

  /** Number of calls that hold a slot. */
  int running;

  /** Number of calls that wait for a slot. */
  int waiting;

  /** Rates at which the team's calls arrive. */
  final ArrivalRates arrivals = new ArrivalRates();

  /** Scratch counter of {@link CallOrder#ahead}; 0 between its runs. */
  int counted;

  TeamLoad(String name) {
    this.name = name;
  }

  boolean isIdle() {
    return running == 0 && waiting == 0;
  }
}
