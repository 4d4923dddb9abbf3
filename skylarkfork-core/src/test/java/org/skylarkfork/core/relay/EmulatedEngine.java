package org.skylarkfork.core.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.placement.PromptPrefixes;

/**
 * An engine in virtual time: reads one prompt after the other, the most urgent first, keeps parts
 * of them for each model, and makes tokens for all that run beside the reading.
 */
final class EmulatedEngine {

  private static final double TOKENS_A_MILLI = 60;
  private static final double FIRST_MILLIS = 120;
  private static final double STEP_MILLIS = 7;
  private static final long MEMORY_TOKENS = 590_000;

  final UpstreamInstance instance;
  private final double slowness;
  private final List<Job> waiting = new ArrayList<>();
  private final Map<Long, Integer> kept = new LinkedHashMap<>(64, 0.75f, true);
  private final Map<String, Double> paces;
  private @Nullable Job reading;
  private long keptTokens;
  long tokensRead;
  long rereadSharedTokens;
  private final Map<Long, Boolean> everRead;

  /** One attempt at the engine. */
  static final class Job {
    final String entry;
    final long request;
    final int attempt;
    final int urgency;
    final String model;
    final PromptPrefixes prefixes;
    final int outputTokens;
    boolean cancelled;
    boolean begun;
    double endsReadingAt;

    Job(
        String entry,
        long request,
        int attempt,
        int urgency,
        String model,
        PromptPrefixes chain,
        int outputTokens) {
      this.entry = entry;
      this.request = request;
      this.attempt = attempt;
      this.urgency = urgency;
      this.model = model;
      this.prefixes = chain;
      this.outputTokens = outputTokens;
    }
  }

  EmulatedEngine(
      UpstreamInstance instance,
      double slowness,
      Map<String, Double> paces,
      Map<Long, Boolean> everRead) {
    this.instance = instance;
    this.slowness = slowness;
    this.paces = new HashMap<>(paces);
    this.everRead = everRead;
  }

  void add(Job job) {
    waiting.add(job);
  }

  /** Returns the job whose reading begins now, or null if one is read or none waits. */
  @Nullable Job startNext(double now) {
    waiting.removeIf(job -> job.cancelled);
    if (reading != null || waiting.isEmpty()) {
      return null;
    }
    Job next = waiting.stream().min(Comparator.comparingInt(job -> job.urgency)).orElseThrow();
    waiting.remove(next);
    reading = next;
    double pace = paces.get(next.model) * slowness;
    next.endsReadingAt = now + read(next.prefixes) * pace / TOKENS_A_MILLI;
    return next;
  }

  private int read(PromptPrefixes chain) {
    int from = 0;
    int place = 0;
    while (place < chain.size() && kept.get(chain.key(place)) != null) {
      from = chain.tokens(place);
      place++;
    }
    for (; place < chain.size(); place++) {
      int before = place == 0 ? 0 : chain.tokens(place - 1);
      keep(chain.key(place), chain.tokens(place) - before);
      boolean shared = place < chain.sharedSize();
      if (shared && everRead.put(chain.key(place), true) != null) {
        rereadSharedTokens += chain.tokens(place) - before;
      }
    }
    tokensRead += chain.totalTokens() - from;
    return chain.totalTokens() - from;
  }

  private void keep(long key, int tokens) {
    kept.put(key, tokens);
    keptTokens += tokens;
    while (keptTokens > MEMORY_TOKENS) {
      long oldest = kept.keySet().iterator().next();
      keptTokens -= kept.remove(oldest);
    }
  }

  /** Ends the reading of a job; returns whether it was that one's turn. */
  boolean finish(Job job) {
    boolean own = reading == job;
    reading = own ? null : reading;
    return own;
  }

  /** Drops a job that waits, is read or has begun. */
  void cancel(Job job) {
    job.cancelled = true;
  }

  double firstMillis() {
    return FIRST_MILLIS * slowness;
  }

  double outputMillis(Job job) {
    return job.outputTokens * STEP_MILLIS * paces.get(job.model) * slowness;
  }
}
