package org.skylarkfork.runtime.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of answers that end at each byte of their head or of what frames their body. */
public final class CutHeadNodeTest extends ForwardingNodeHarness {

  private static final int MAX_LOST = 3;
  private static final String CUT = "cut-";
  private static final String SECOND = "the second run";
  private static final String EVENT = "id: 1\ndata: a\n\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";

  /** Statuses that an entry gives itself to a request whose outcome is unknown or that it keeps. */
  private static final Set<String> OWN_STATUSES = Set.of("502", "503", "504");

  /** How an upstream ends its connection inside an answer. */
  private enum End {
    CLOSE,
    RESET
  }

  /**
   * An answer that is cut at each byte.
   *
   * @param status status line after the version
   * @param lines lines of the head beside the request's id
   * @param body what follows the head
   * @param isFramed whether a cut of the body shows
   */
  private record Answer(String status, String lines, String body, boolean isFramed) {

    String head(String id) {
      return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + id + "\r\n" + lines + "\r\n";
    }

    /** Returns the number of places at which a close doesn't leave a whole answer. */
    int places(End end) {
      int head = head(id(0)).length();
      return isFramed || end == End.RESET ? head + body.length() : head;
    }

    @Override
    public String toString() {
      return status + " " + lines.strip();
    }
  }

  private static String id(int place) {
    return CUT + String.format(Locale.ROOT, "%04d", place);
  }

  private static List<Answer> answers() {
    String chunks = "Transfer-Encoding: chunked\r\n";
    String events = "Content-Type: text/event-stream\r\n";
    String event = Integer.toHexString(EVENT.length()) + "\r\n" + EVENT + "\r\n";
    return List.of(
        new Answer("200 OK", "Content-Length: 12\r\n", "twelve bytes", true),
        new Answer("200 OK", chunks, "6\r\ntwelve\r\n6;a=b\r\n bytes\r\n" + LAST_CHUNK, true),
        new Answer("200 OK", "Server: any\r\n", "twelve bytes", false),
        new Answer("200 OK", events, EVENT, false),
        new Answer("200 OK", events + chunks, event + LAST_CHUNK, true),
        new Answer("204 No Content", "Server: any\r\n", "", true),
        new Answer("500 Any", "Content-Length: 12\r\n", "twelve bytes", true),
        new Answer("500 Any", "Server: any\r\n", "twelve bytes", false));
  }

  /** Returns each answer with each end of its connection, and whether another entry connects. */
  @DataProvider
  public static Object[][] cuts() {
    return Stream.of(false, true)
        .flatMap(
            isForwarded ->
                Stream.of(End.values())
                    .flatMap(
                        end ->
                            answers().stream()
                                .map(answer -> new Object[] {answer, end, isForwarded})))
        .toArray(Object[][]::new);
  }

  /** Guards against an answer that is cut in its head and reaches its caller as if whole. */
  @Test(dataProvider = "cuts")
  public void cutAnswerIsNotComplete(Answer answer, End end, boolean isForwarded) throws Exception {
    Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    ScriptedUpstream.Script script =
        (requestNumber, head, out) -> {
          String id = ScriptedUpstream.requestIdIn(head);
          int run = runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
          if (!id.startsWith(CUT) || run > 1) {
            writeWhole(head, out);
            return true;
          }
          return writeCut(answer, end, id, out);
        };
    serveWith(script, script);
    awaitServed("/lookup/x");
    if (isForwarded) {
      awaitOtherEntry();
      network().cut(CuttableNetwork.Cut.REFUSES_NEW);
      sendUntilServed("/lookup/x", "noticing", MAX_LOST);
    }
    List<String> paths =
        isForwarded ? List.of("/book/x") : List.of("/lookup/x", "/book/x", "/stream/x");
    for (String path : paths) {
      runs.clear();
      for (int place = 0; place < answer.places(end); place++) {
        check(path, send(path, id(place)), place);
      }
      assertFalse(runs.isEmpty());
      boolean once = runs.values().stream().allMatch(count -> count.get() == 1);
      assertTrue(once || !path.startsWith("/book/"), runs.toString());
    }
  }

  private static void check(String path, String received, int place) {
    String what = path + " cut at " + place + ": " + received;
    String status = received.length() < 12 ? "" : received.substring(9, 12);
    boolean isWhole = received.contains(SECOND) && !path.startsWith("/book/");
    boolean isBrokenOff =
        received.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked")
            && !received.endsWith(LAST_CHUNK);
    assertTrue(OWN_STATUSES.contains(status) || isWhole || isBrokenOff, what);
  }

  private static void writeWhole(String head, OutputStream out) throws IOException {
    if (head.contains(" /stream/")) {
      out.write(ScriptedUpstream.streamHead(head));
      out.write(ScriptedUpstream.chunk("id: 2\ndata: " + SECOND + "\n\n"));
      out.write(ScriptedUpstream.bytes(LAST_CHUNK));
    } else {
      out.write(ScriptedUpstream.response(head, 200, SECOND));
    }
  }

  private static boolean writeCut(Answer answer, End end, String id, OutputStream out)
      throws IOException {
    byte[] whole = ScriptedUpstream.bytes(answer.head(id) + answer.body());
    out.write(whole, 0, Integer.parseInt(id.substring(CUT.length())));
    if (end == End.RESET) {
      throw new ScriptedUpstream.ResetException();
    }
    return false;
  }

  /** Guards against a head that is cut behind a whole answer and borrows that answer's status. */
  @Test
  public void answerCutBehindTheWholeOneIsNotComplete() throws Exception {
    Answer answer = answers().get(0);
    Set<OutputStream> used = ConcurrentHashMap.newKeySet();
    AtomicInteger reused = new AtomicInteger();
    serveWith(
        (requestNumber, head, out) -> {
          String id = ScriptedUpstream.requestIdIn(head);
          boolean isNew = used.add(out);
          if (!id.startsWith(CUT)) {
            writeWhole(head, out);
            return true;
          }
          reused.addAndGet(isNew ? 0 : 1);
          return writeCut(answer, End.CLOSE, id, out);
        });
    awaitServed("/lookup/x");
    for (int place = 0; place < answer.places(End.CLOSE); place++) {
      sendUntilServed("/lookup/x", "whole-" + place, MAX_TRIES);
      String received = send("/lookup/x", id(place));
      assertFalse(received.startsWith("HTTP/1.1 200"), place + ": " + received);
    }
    assertTrue(reused.get() > 0);
  }

  /**
   * Guards against treating as cut what HTTP calls whole: an answer without framing whose upstream
   * closed in order, also with an empty body.
   */
  @Test
  public void unframedAnswerWithAnEmptyBodyIsWhole() throws Exception {
    Answer answer = answers().get(2);
    serveWith(
        (requestNumber, head, out) -> {
          out.write(ScriptedUpstream.bytes(answer.head(ScriptedUpstream.requestIdIn(head))));
          return false;
        });
    awaitServed("/lookup/x");
    String received = send("/book/x", "empty");
    assertTrue(received.startsWith("HTTP/1.1 200"), received);
    assertEquals(received.substring(received.indexOf("\r\n\r\n")), "\r\n\r\n");
  }
}
