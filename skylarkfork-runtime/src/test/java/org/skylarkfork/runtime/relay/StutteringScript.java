package org.skylarkfork.runtime.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Answers each request, and once more when the next request with the same id arrives: late, on the
 * connection of the first answer and ahead of the answer to that request.
 */
final class StutteringScript implements ScriptedUpstream.Script {

  private final Answers answers;
  private final Answers lateAnswers;
  private final Runs runs;
  private final Map<String, List<Late>> late = new HashMap<>();

  /**
   * Creates the script of one upstream.
   *
   * @param runs counts the runs at all upstreams that share it
   * @param answers the answers
   * @param lateAnswers the answers that come late
   */
  StutteringScript(Runs runs, Answers answers, Answers lateAnswers) {
    this.runs = runs;
    this.answers = answers;
    this.lateAnswers = lateAnswers;
  }

  /** Creates the script of an upstream that sends each answer twice. */
  StutteringScript(Runs runs, Answers answers) {
    this(runs, answers, answers);
  }

  /** Returns the answer to a run. */
  interface Answers {
    /**
     * Returns the bytes of an answer.
     *
     * @param run number of the run among those with the request's id, from 1
     * @param head the request's head
     */
    byte[] answer(int run, String head);
  }

  /** Counts the runs of each request. */
  static final class Runs {
    private final Map<String, Integer> counts = new HashMap<>();

    synchronized int next(String id) {
      return counts.merge(id, 1, Integer::sum);
    }
  }

  private record Late(OutputStream out, byte[] answer) {}

  @Override
  public synchronized boolean answer(int requestNumber, String head, OutputStream out)
      throws IOException {
    String id = ScriptedUpstream.requestIdIn(head);
    int run = runs.next(id);
    List<Late> earlier = late.computeIfAbsent(id, key -> new ArrayList<>());
    for (Late copy : earlier) {
      sendLate(copy, out);
    }
    out.write(answers.answer(run, head));
    earlier.add(new Late(out, lateAnswers.answer(run, head)));
    return true;
  }

  private static void sendLate(Late copy, OutputStream present) throws IOException {
    try {
      copy.out().write(copy.answer());
    } catch (IOException closed) {
      if (copy.out().equals(present)) {
        throw closed;
      }
    }
  }
}
