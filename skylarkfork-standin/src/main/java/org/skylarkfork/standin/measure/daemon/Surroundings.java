package org.skylarkfork.standin.measure.daemon;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.standin.measure.VirtualTime;

/** What all fakes of one run share. */
final class Surroundings {

  private static final int FIRST_PORT = 9_000;
  private static final double MILLIS = 1_000;

  private final VirtualTime time;
  private final UniformRandomProvider random;
  private final Consumer<Event> daemon;
  private final Truth truth;
  private final Scores scores;
  private final Map<String, Ask> asks = new HashMap<>();
  private final Map<String, Integer> ports = new HashMap<>();
  private final Map<String, Double> ratings = new HashMap<>();

  Surroundings(
      VirtualTime time,
      UniformRandomProvider random,
      Consumer<Event> daemon,
      Truth truth,
      Scores scores,
      List<Ask> asks) {
    this.time = time;
    this.random = random;
    this.daemon = daemon;
    this.truth = truth;
    this.scores = scores;
    asks.forEach(ask -> this.asks.put(ask.request().requestId(), ask));
  }

  VirtualTime time() {
    return time;
  }

  UniformRandomProvider random() {
    return random;
  }

  Consumer<Event> daemon() {
    return daemon;
  }

  Scores scores() {
    return scores;
  }

  Map<String, Double> ratings() {
    return ratings;
  }

  Ask ask(String requestId) {
    return asks.get(requestId);
  }

  /** Returns the port of an upstream, which no other has. */
  int port(String upstream) {
    return ports.computeIfAbsent(upstream, id -> FIRST_PORT + ports.size());
  }

  /** Returns how many seconds the run has lasted. */
  double second() {
    return (time.now().toEpochMilli() - Arrivals.BEGIN.toEpochMilli()) / MILLIS;
  }

  /** Draws how good an answer is that an engine has just finished. */
  void finished(String attemptId, Ask ask, ModelVersion version) {
    ratings.put(attemptId, truth.score(ask, version, second()));
  }
}
