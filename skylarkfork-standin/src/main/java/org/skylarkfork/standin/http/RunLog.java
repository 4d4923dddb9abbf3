package org.skylarkfork.standin.http;

import java.util.LinkedHashMap;
import java.util.Map;

/** Counts how often each request ran, so that doubles show; safe for use by several threads. */
public final class RunLog {

  private static final int MAX_REQUESTS = 200_000;

  private final Map<String, Integer> runs = new LinkedHashMap<>();
  private final Map<String, Integer> doubles = new LinkedHashMap<>();
  private long total;

  /**
   * What ran.
   *
   * @param total the number of runs
   * @param doubles the runs of each request that ran more than once
   */
  public record Report(long total, Map<String, Integer> doubles) {}

  /**
   * Counts a run.
   *
   * @param id the id of the request
   * @return the number of runs of this request so far
   */
  public synchronized int record(String id) {
    total++;
    int count = runs.merge(id, 1, Integer::sum);
    if (count > 1) {
      doubles.put(id, count);
    }
    if (runs.size() > MAX_REQUESTS) {
      runs.remove(runs.keySet().iterator().next());
    }
    return count;
  }

  /**
   * Gives the number of runs of a request.
   *
   * @param id the id of the request
   * @return the number, 0 if it never ran or is long forgotten
   */
  public synchronized int runsOf(String id) {
    return runs.getOrDefault(id, 0);
  }

  /**
   * Reports the doubles.
   *
   * @return a copy
   */
  public synchronized Report report() {
    return new Report(total, Map.copyOf(doubles));
  }
}
