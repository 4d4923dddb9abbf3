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

/** Tests of {@link UpstreamAddress} and of what an entry does with an address that is none. */
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
   * The caller is served. An upstream of its service had announced an address that is none; the
   * first entry to send there halted, then the next one that the caller came to. Control VMs refuse
   * such a heartbeat.
   */
  @Test
  public void invalidAddressDoesNotStopTheEntry() throws Exception {
    serveWith(
        (run, head, out) -> {
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
    UpstreamInstance odd = new UpstreamInstance("odd", "service", address, "a", "v1", 4, 1, 0);
    int port = node().controlAddress().join().getPort();
    URI uri = URI.create("http://127.0.0.1:" + port + "/relay/v1/upstreams/odd");
    HttpRequest.BodyPublisher body = HttpRequest.BodyPublishers.ofString(codec.toJson(odd));
    return client
        .send(HttpRequest.newBuilder(uri).PUT(body).build(), HttpResponse.BodyHandlers.ofString())
        .statusCode();
  }
}
