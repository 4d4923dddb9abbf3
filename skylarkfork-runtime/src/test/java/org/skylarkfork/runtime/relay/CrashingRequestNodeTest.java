package org.skylarkfork.runtime.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.Test;

/** Tests with requests that crash the upstreams that run them, over real connections. */
public final class CrashingRequestNodeTest extends RelayNodeHarness {

  private static final String QUARANTINED = "relay_quarantined_requests{kind=\"\"} 1";
  private static final Pattern HASH = Pattern.compile("\"request\":\"team/([0-9a-f]{16})\"");

  private ScriptedUpstream.Script crashesOn(String path) {
    return (requestNumber, head, out) -> {
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
   * Guards against a crashing request that ends one upstream after the other. A caller sends it
   * three times, and each time an upstream crashes as it starts to run the request. From then on
   * the request receives 400 without Retry-After, other requests are served by the remaining
   * upstreams, and operators see the request and can lift its quarantine.
   */
  @Test
  public void crashingRequestIsRefusedUntilItsQuarantineIsLifted() throws Exception {
    ScriptedUpstream.Script crashing = crashesOn("/book/bad");
    serveWith(crashing, crashing, crashing, crashing, crashing);
    sendUntilServed("/lookup/good", "good");
    for (int attempt = 1; attempt <= 3; attempt++) {
      String answer = exchange("/book/bad", "request-" + attempt, "body");
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
    String lifted = "";
    for (int tries = 0; tries < MAX_TRIES && !lifted.startsWith("HTTP/1.1 502"); tries++) {
      lifted = exchange("/book/bad", "let-through", "body");
    }
    assertTrue(lifted.startsWith("HTTP/1.1 502"), lifted);
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
