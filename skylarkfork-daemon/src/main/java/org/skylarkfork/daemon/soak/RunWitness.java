package org.skylarkfork.daemon.soak;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Records the runs of each request at all upstreams, and those that were answered as failed. */
final class RunWitness {

  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  private final Set<Run> failed = ConcurrentHashMap.newKeySet();

  private final AtomicInteger secondAnswers = new AtomicInteger();

  private record Run(String id, int number) {}

  /** Records that a run of a request begins; returns its number, 1 for the first. */
  int begin(String id) {
    return runs.merge(id, 1, Integer::sum);
  }

  /** Records that a run is answered with a failure. */
  void onFailed(String id, int run) {
    failed.add(new Run(id, run));
  }

  /** Records that a run is answered twice. */
  void onAnsweredAgain() {
    secondAnswers.incrementAndGet();
  }

  /** Returns the number of runs that were answered twice. */
  int secondAnswers() {
    return secondAnswers.get();
  }

  /** Returns the number of runs of a request. */
  int runs(String id) {
    return runs.getOrDefault(id, 0);
  }

  /** Returns whether a run was answered with a failure. */
  boolean hasFailed(String id, int run) {
    return failed.contains(new Run(id, run));
  }
}
