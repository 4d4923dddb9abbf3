package org.skylarkfork.runtime.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of one daemon whose upstreams send copies of their answers in random order. */
public final class RandomCopyNodeTest extends RelayNodeHarness {

  private static final int REQUESTS = 150;
  private static final int IDS = 40;
  private static final int UPSTREAMS = 2;

  /** Returns the seeds. */
  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}, {4L}};
  }

  /** Guards against an answer that isn't the one to the caller's last attempt. */
  @Test(dataProvider = "seeds")
  public void callersGetTheAnswerToTheirLastAttempt(long seed) throws Exception {
    Map<String, String> newest = new HashMap<>();
    Random random = new Random(seed);
    List<ScriptedUpstream.Script> scripts = new ArrayList<>();
    for (int upstream = 0; upstream < UPSTREAMS; upstream++) {
      scripts.add(new RandomScript(random, newest));
    }
    serveWith(scripts.toArray(ScriptedUpstream.Script[]::new));
    Random callers = new Random(seed);
    int answered = 0;
    for (int request = 0; request < REQUESTS; request++) {
      String id = "id-" + callers.nextInt(IDS);
      String path = callers.nextBoolean() ? "/lookup/x" : "/stream/x";
      String answer = exchange(path, id, "body");
      if (answer.contains("run ")) {
        answered++;
        String status = answer.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length());
        String run = answer.split("run ")[1].split("\\D")[0];
        assertEquals(status + " run " + run, newest.get(id), "request " + request + ": " + answer);
      }
    }
    assertTrue(answered > REQUESTS / 2, answered + " answered");
  }

  /** Answers, and sends copies of earlier answers, whole or cut, in an order of its own. */
  private static final class RandomScript implements ScriptedUpstream.Script {

    private static final int[] STATUSES = {200, 200, 200, 404, 500};

    private final Random random;
    private final Map<String, String> newest;
    private final List<Late> late = new ArrayList<>();
    private int runs;

    private RandomScript(Random random, Map<String, String> newest) {
      this.random = random;
      this.newest = newest;
    }

    private record Late(OutputStream out, String answer) {}

    @Override
    public boolean answer(int requestNumber, String head, OutputStream out) throws IOException {
      synchronized (newest) {
        return answerOne(head, out);
      }
    }

    private boolean answerOne(String head, OutputStream out) throws IOException {
      runs++;
      int status = STATUSES[random.nextInt(STATUSES.length)];
      boolean framed = random.nextInt(10) > 0;
      String answer = answerTo(head, status, framed);
      newest.put(ScriptedUpstream.requestIdIn(head), status + " run " + runs);
      sendSomeCopies(out);
      late.add(new Late(out, answer));
      boolean inOneRead = random.nextInt(4) == 0;
      out.write(ScriptedUpstream.bytes(inOneRead && framed ? answer + part(answer) : answer));
      return framed && random.nextInt(20) > 0;
    }

    private String answerTo(String head, int status, boolean framed) {
      String body = "run " + runs;
      String whole = new String(ScriptedUpstream.response(head, status, body));
      if (!framed) {
        return whole.replaceFirst("Content-Length: \\d+\r\n", "");
      }
      boolean streams = status == 200 && head.contains("/stream/");
      return streams
          ? new String(ScriptedUpstream.streamHead(head))
              + new String(ScriptedUpstream.chunk("id: 1\ndata: " + body + "\n\n"))
              + "0\r\n\r\n"
          : whole;
    }

    private void sendSomeCopies(OutputStream present) throws IOException {
      for (Late copy : late) {
        if (random.nextInt(3) == 0) {
          sendCopy(copy, present);
        }
      }
      late.removeIf(copy -> random.nextInt(6) == 0);
    }

    private void sendCopy(Late copy, OutputStream present) throws IOException {
      boolean ahead = copy.out().equals(present);
      try {
        copy.out().write(ScriptedUpstream.bytes(ahead ? copy.answer() : part(copy.answer())));
      } catch (IOException closed) {
        if (ahead) {
          throw closed;
        }
      }
    }

    /** Returns a copy, which is cut in two of three cases. */
    private String part(String answer) {
      int length = random.nextInt(3) == 0 ? answer.length() : random.nextInt(answer.length());
      return answer.substring(0, length);
    }
  }
}
