package org.skylarkfork.daemon.soak;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Compares what callers, upstreams and operators saw with what was promised. */
final class SoakChecker {

  /** Time after the acceptance of a change in which a key that it takes away must be dead. */
  private static final Duration KEY_BOUND = Duration.ofSeconds(5);

  /** Status with which upstreams answer runs that fail. */
  private static final int FAILED = 500;

  private final List<SoakAnswer> answers;
  private final RunWitness runs;
  private final List<SoakOperator.Accepted> accepted;

  SoakChecker(List<SoakAnswer> answers, RunWitness runs, List<SoakOperator.Accepted> accepted) {
    this.answers = answers;
    this.runs = runs;
    this.accepted = accepted;
  }

  /** Returns each broken promise. */
  List<String> findings() {
    List<String> found = new ArrayList<>();
    for (SoakAnswer answer : answers) {
      int ran = runs.runs(answer.id());
      if (answer.status() == 200 && !answer.whole()) {
        found.add(
            named(answer) + " got a success that isn't its own whole one: " + answer.detail());
      }
      if (answer.kind() == SoakAnswer.Kind.BOOKING && ran > 1) {
        found.add(answer.id() + ", a booking, ran " + ran + " times");
      }
      if (answer.kind() == SoakAnswer.Kind.BOOKING && answer.saysNotRun() && ran > 0) {
        found.add(answer.id() + ", a booking, was refused as not run and ran");
      }
      if (answer.status() == 200 && outlived(answer)) {
        found.add(answer.id() + " was served with " + answer.key() + " after its time");
      }
      if (answer.status() == 200
          && answer.marks().stream().anyMatch(mark -> failed(answer, mark))) {
        found.add(named(answer) + " got a success of a run that failed: " + answer.marks());
      }
      if (answer.status() == FAILED
          && answer.marks().stream().anyMatch(mark -> !failed(answer, mark))) {
        found.add(named(answer) + " got a failure of a run that succeeded: " + answer.marks());
      }
      if (answer.marks().stream().anyMatch(mark -> mark.again() && mark.run() < ran)) {
        found.add(
            named(answer)
                + " got status "
                + answer.status()
                + ", a late answer of an earlier run: "
                + answer.marks()
                + " of "
                + ran);
      }
    }
    return found;
  }

  private static String named(SoakAnswer answer) {
    return answer.id() + ", a " + answer.kind().name().toLowerCase(Locale.ROOT) + ",";
  }

  private boolean failed(SoakAnswer answer, RunMark mark) {
    return runs.hasFailed(answer.id(), mark.run());
  }

  /** Returns whether the request's key had been taken away for longer than the bound. */
  private boolean outlived(SoakAnswer answer) {
    Instant latest = answer.sentAt().minus(KEY_BOUND);
    return accepted.stream()
        .anyMatch(
            change ->
                change.at().isBefore(latest)
                    && !answer.key().equals(SoakOperator.LASTING_KEY)
                    && version(answer.key()) < change.version());
  }

  private static long version(String key) {
    return Long.parseLong(key.substring(key.indexOf('-') + 1));
  }
}
