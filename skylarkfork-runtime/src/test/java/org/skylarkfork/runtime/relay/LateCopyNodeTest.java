package org.skylarkfork.runtime.relay;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests of one daemon whose upstreams answer a request twice, the second time late. */
public final class LateCopyNodeTest extends RelayNodeHarness {

  /** Guards against extra answers that operators can't see. */
  @Test
  public void extraAnswersAreCounted() throws Exception {
    serveWith(
        (requestNumber, head, out) -> {
          byte[] answer = ScriptedUpstream.response(head, 200, "any");
          byte[] other = ScriptedUpstream.response("X-Request-Id: other", 200, "other");
          out.write(other);
          out.write(answer);
          return true;
        });
    sendUntilServed("/lookup/x", "one");
    String served = metrics();
    assertTrue(served.contains("relay_extra_answers_total{kind=\"skipped\"} 1"), served);
  }
}
