package org.skylarkfork.runtime.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.Test;

/** Tests with upstreams that end as they run a request, over real connections. */
public final class CrashingRequestNodeTest extends RelayNodeHarness {

  private static final String QUARANTINED = "relay_quarantined_requests{kind=\"\"} 1";
  private static final Pattern HASH = Pattern.compile("\"request\":\"team/([0-9a-f]{16})\"");

  private ScriptedUpstream.Script crashesOn(String path) {
    return (run, head, out) -> {
      if (head.startsWith("POST " + path)) {
        for (ScriptedUpstream upstream : upstreams) {
          if (upstream.heads().contains(head)) {
            upstream.close();
          }
        }
        return false;
      }
      out.write(ScriptedUpstream.response(head, 200, "the answer"));
      return true;
    };
  }

  private int sendCount(String path) {
    return (int)
        upstreams.stream()
            .flatMap(upstream -> upstream.heads().stream())
            .filter(head -> head.startsWith("POST " + path))
            .count();
  }

  /**
   * A caller sends a request three times, and each time an upstream ends as it begins to run it.
   * From then on it gets 400 and no time to come back, other callers are served by the upstreams
   * that are left, and operators see the request, and let it through again.
   */
  @Test
  public void crashingRequestIsRefusedUntilItsQuarantineIsLifted() throws Exception {
    ScriptedUpstream.Script script = crashesOn("/book/bad");
    serveWith(script, script, script, script, script);
    sendUntilServed("/lookup/good", "good");
    for (int time = 1; time <= 3; time++) {
      String answer = exchange("/book/bad", "request-" + time, "body");
      assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
    }
    String served = "";
    for (int tries = 0; tries < MAX_TRIES && !served.contains(QUARANTINED); tries++) {
      served = metrics();
    }
    assertTrue(served.contains(QUARANTINED), served);
    String answer = exchange("/book/bad", "again", "body");
    assertTrue(answer.startsWith("HTTP/1.1 400"), answer);
    assertFalse(answer.toLowerCase(Locale.ROOT).contains("retry-after"), answer);
    assertEquals(sendCount("/book/bad"), 3);
    assertTrue(exchange("/lookup/good", "good", "body").startsWith("HTTP/1.1 200"));
    assertTrue(exchange("/book/bad", "other", "another body").startsWith("HTTP/1.1 502"));
    liftFirstQuarantine();
    String through = "";
    for (int tries = 0; tries < MAX_TRIES && !through.startsWith("HTTP/1.1 502"); tries++) {
      through = exchange("/book/bad", "let-through", "body");
    }
    assertTrue(through.startsWith("HTTP/1.1 502"), through);
  }

  private void liftFirstQuarantine() throws Exception {
    String listed = callControl("GET", "quarantine").body();
    Matcher hash = HASH.matcher(listed);
    assertTrue(hash.find(), listed);
    String path = "quarantine/" + hash.group(1) + "?team=team";
    assertEquals(callControl("DELETE", path).statusCode(), 200);
    assertEquals(callControl("DELETE", "quarantine/nothing").statusCode(), 400);
  }
}
