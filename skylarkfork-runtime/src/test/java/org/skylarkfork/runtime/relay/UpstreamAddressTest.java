package org.skylarkfork.runtime.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import org.skylarkfork.core.relay.UpstreamInstance;
import org.testng.annotations.Test;

/** Tests of {@link UpstreamAddress} and of an entry's handling of invalid addresses. */
public final class UpstreamAddressTest extends RelayNodeHarness {

  private static final List<String> INVALID =
      List.of(
          "",
          ":",
          "80",
          ":80",
          "nonsense",
          "host.invalid:80",
          "127.0.0.1",
          "127.0.0.1:",
          "127.0.0.1:0",
          "127.0.0.1:99999",
          "127.0.0.1:-1",
          "127.0.0.1:8o",
          "999.0.0.1:80",
          "127.0.0.1:99999999999");

  @Test
  public void ipAddressesWithPortsAreParsed() {
    assertTrue(UpstreamAddress.isValid("10.128.0.9:8080"));
    assertTrue(UpstreamAddress.isValid("[::1]:8080"));
    assertEquals(String.valueOf(UpstreamAddress.parse("10.1.2.3:65535")), "/10.1.2.3:65535");
    for (String text : INVALID) {
      assertFalse(UpstreamAddress.isValid(text), text);
    }
  }

  /**
   * Guards against an upstream that announces an invalid address: the first entry that sent to it
   * halted, then the next entry that the caller used. Control VMs reject such a heartbeat, and
   * callers are served.
   */
  @Test
  public void invalidAddressDoesNotStopTheEntry() throws Exception {
    serveWith(
        (requestNumber, head, out) -> {
          out.write(ScriptedUpstream.response(head, 200, "the answer"));
          return true;
        });
    for (String text : INVALID) {
      assertEquals(heartbeat(text), 400, text);
    }
    for (int request = 0; request < 40; request++) {
      String answer = sendUntilServed("/lookup/x", "request-" + request);
      assertTrue(answer.endsWith("the answer"), answer);
    }
  }

  private int heartbeat(String address) throws Exception {
    UpstreamInstance invalid = new UpstreamInstance("odd", "service", address, "a", "v1", 4, 1, 0);
    int port = node().controlAddress().join().getPort();
    URI uri = URI.create("http://127.0.0.1:" + port + "/relay/v1/upstreams/odd");
    HttpRequest.BodyPublisher body = HttpRequest.BodyPublishers.ofString(codec.toJson(invalid));
    return client
        .send(HttpRequest.newBuilder(uri).PUT(body).build(), HttpResponse.BodyHandlers.ofString())
        .statusCode();
  }
}
