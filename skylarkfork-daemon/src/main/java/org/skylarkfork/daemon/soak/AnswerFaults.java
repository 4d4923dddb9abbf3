package org.skylarkfork.daemon.soak;

import java.time.Duration;
import java.util.List;

/**
 * How often and how the upstreams of a soak fail requests and answer them twice.
 *
 * @param failingShare share of the requests whose first runs fail, from 0 to 1
 * @param secondAnswerShare share of the runs that are answered twice, from 0 to 1
 * @param maxDelay longest delay of a second answer, at least 1 ms
 * @param shapes the shapes of second answers, at least one
 */
public record AnswerFaults(
    double failingShare, double secondAnswerShare, Duration maxDelay, List<Shape> shapes) {

  /** Faults of a soak that is told nothing else. */
  public static final AnswerFaults DEFAULT =
      new AnswerFaults(1 / 15.0, 0.25, Duration.ofMillis(300), List.of(Shape.values()));

  /** How a second answer ends. */
  public enum Shape {
    /** It is whole, and the connection stays open. */
    WHOLE,
    /** It ends with its connection. */
    WITHOUT_LENGTH,
    /** It is cut at any byte, and the connection ends. */
    CUT,
    /** It is cut at any byte, and the connection stays open. */
    CUT_ON_OPEN_CONNECTION
  }

  /** Copies the shapes. */
  public AnswerFaults {
    shapes = List.copyOf(shapes);
  }
}
