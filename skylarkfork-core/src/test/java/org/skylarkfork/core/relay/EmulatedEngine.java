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
 * An engine in virtual time. It prefills one prompt at a time, the most urgent first, caches their
 * prefixes for each model, and generates tokens for all running attempts in parallel to the
 * prefill.
 */
final class EmulatedEngine {

  private static final double TOKENS_PER_MILLI = 60;
  private static final double FIRST_MILLIS = 120;
  private static final double STEP_MILLIS = 7;
  private static final long MEMORY_TOKENS = 590_000;

  final UpstreamInstance instance;
  private final double latencyFactor;
  private final List<Job> waiting = new ArrayList<>();
  private final Map<Long, Integer> cache = new LinkedHashMap<>(64, 0.75f, true);
  private final Map<String, Double> modelCosts;
  private @Nullable Job inPrefill;
  private long cachedTokens;
  long tokensRead;
  long rereadSharedTokens;
  private final Map<Long, Boolean> alreadyRead;

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
    double prefillEndsAt;

    Job(
        String entry,
        long request,
        int attempt,
        int urgency,
        String model,
        PromptPrefixes prefixes,
        int outputTokens) {
      this.entry = entry;
      this.request = request;
      this.attempt = attempt;
      this.urgency = urgency;
      this.model = model;
      this.prefixes = prefixes;
      this.outputTokens = outputTokens;
    }
  }

  EmulatedEngine(
      UpstreamInstance instance,
      double latencyFactor,
      Map<String, Double> modelCosts,
      Map<Long, Boolean> alreadyRead) {
    this.instance = instance;
    this.latencyFactor = latencyFactor;
    this.modelCosts = new HashMap<>(modelCosts);
    this.alreadyRead = alreadyRead;
  }

  void add(Job job) {
    waiting.add(job);
  }

  /** Starts the next prefill; returns its job, or null if a prefill is running or no job waits. */
  @Nullable Job startNext(double now) {
    waiting.removeIf(job -> job.cancelled);
    if (inPrefill != null || waiting.isEmpty()) {
      return null;
    }
    Job next = waiting.stream().min(Comparator.comparingInt(job -> job.urgency)).orElseThrow();
    waiting.remove(next);
    inPrefill = next;
    double modelCost = modelCosts.get(next.model) * latencyFactor;
    next.prefillEndsAt = now + readPrompt(next.prefixes) * modelCost / TOKENS_PER_MILLI;
    return next;
  }

  private int readPrompt(PromptPrefixes prefixes) {
    int hitTokens = 0;
    int index = 0;
    while (index < prefixes.size() && cache.get(prefixes.key(index)) != null) {
      hitTokens = prefixes.tokens(index);
      index++;
    }
    for (; index < prefixes.size(); index++) {
      int prefixTokens = index == 0 ? 0 : prefixes.tokens(index - 1);
      putInCache(prefixes.key(index), prefixes.tokens(index) - prefixTokens);
      boolean shared = index < prefixes.sharedSize();
      if (shared && alreadyRead.put(prefixes.key(index), true) != null) {
        rereadSharedTokens += prefixes.tokens(index) - prefixTokens;
      }
    }
    tokensRead += prefixes.totalTokens() - hitTokens;
    return prefixes.totalTokens() - hitTokens;
  }

  private void putInCache(long key, int tokens) {
    cache.put(key, tokens);
    cachedTokens += tokens;
    while (cachedTokens > MEMORY_TOKENS) {
      long oldest = cache.keySet().iterator().next();
      cachedTokens -= cache.remove(oldest);
    }
  }

  /** Ends the prefill of a job; returns whether that job's prefill was running. */
  boolean finish(Job job) {
    boolean own = inPrefill == job;
    inPrefill = own ? null : inPrefill;
    return own;
  }

  /** Cancels a job that waits, is in prefill or has begun to answer. */
  void cancel(Job job) {
    job.cancelled = true;
  }

  double firstMillis() {
    return FIRST_MILLIS * latencyFactor;
  }

  double outputMillis(Job job) {
    return job.outputTokens * STEP_MILLIS * modelCosts.get(job.model) * latencyFactor;
  }
}
