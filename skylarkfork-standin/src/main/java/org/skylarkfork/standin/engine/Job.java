package org.skylarkfork.standin.engine;

import java.util.List;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/** One request in the engine; only the thread of the batch loop changes it. */
final class Job {

  private final String requestId;
  private final String modelKey;
  private final int priority;
  private final List<String> prefixes;
  private final int promptTokens;
  private final List<String> answer;
  private final Sinks.Many<Part> sink = Sinks.many().unicast().onBackpressureBuffer();
  private long arrival;
  private int position;
  private volatile int cachedTokens;

  /**
   * Makes a job.
   *
   * @param requestId the id that cancels it
   * @param modelKey the model and version, with a colon between
   * @param priority 0 runs first
   * @param prefixes the prefixes of the prompt
   * @param promptTokens the length of the prompt
   * @param answer the whole answer
   * @param offset the number of tokens that the caller already has
   */
  Job(
      String requestId,
      String modelKey,
      int priority,
      List<String> prefixes,
      int promptTokens,
      List<String> answer,
      int offset) {
    this.requestId = requestId;
    this.modelKey = modelKey;
    this.priority = priority;
    this.prefixes = prefixes;
    this.promptTokens = promptTokens;
    this.answer = answer;
    this.position = Math.max(0, Math.min(offset, answer.size()));
  }

  /**
   * Some tokens that follow each other.
   *
   * @param text their text
   * @param tokens their number
   */
  record Part(String text, int tokens) {}

  String requestId() {
    return requestId;
  }

  String modelKey() {
    return modelKey;
  }

  int priority() {
    return priority;
  }

  long arrival() {
    return arrival;
  }

  List<String> prefixes() {
    return prefixes;
  }

  int promptTokens() {
    return promptTokens;
  }

  int answerTokens() {
    return answer.size();
  }

  int cachedTokens() {
    return cachedTokens;
  }

  /** Gives the tokens of each chunk; its cancellation does not end the job. */
  Flux<Part> chunks() {
    return sink.asFlux();
  }

  boolean finished() {
    return position == answer.size();
  }

  void arrived(long number) {
    arrival = number;
  }

  void cached(int tokens) {
    cachedTokens = tokens;
  }

  /** Emits the next tokens as one chunk and returns how many there were. */
  int emit(int tokens) {
    int end = Math.min(position + tokens, answer.size());
    int count = end - position;
    if (count > 0) {
      sink.tryEmitNext(new Part(String.join("", answer.subList(position, end)), count));
    }
    position = end;
    return count;
  }

  void complete() {
    sink.tryEmitComplete();
  }

  void cancelled() {
    sink.tryEmitError(new CancelledException(requestId));
  }
}
