package org.skylarkfork.runtime.trace;

import java.util.List;

/**
 * The merged time line of several processes.
 *
 * @param lines the wanted lines by time, then node and sequence
 * @param badLines how many lines were no line of a time line
 * @param firstBadLines file and number of the first of them
 */
public record Timeline(List<TimelineRecord> lines, long badLines, List<String> firstBadLines) {

  /** Copies the lists. */
  public Timeline {
    lines = List.copyOf(lines);
    firstBadLines = List.copyOf(firstBadLines);
  }
}
