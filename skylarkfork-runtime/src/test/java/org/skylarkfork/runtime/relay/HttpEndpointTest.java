package org.skylarkfork.runtime.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.skylarkfork.runtime.limits.MemoryBudget;
import org.skylarkfork.runtime.startup.BindRetry;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests of {@link HttpEndpoint}. */
public final class HttpEndpointTest {

  private static final int TIMEOUT_MILLIS = 20_000;
  private static final int MAX_CONNECTIONS = 10;

  private final EventLoop eventLoop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

  /** Opens a listener that answers with the requester of the call. */
  @BeforeClass
  public void open() {
    CallLimits limits = CallLimits.of(MemoryBudget.ofProcess());
    Channel channel =
        new HttpEndpoint(eventLoop, limits, HttpEndpoint.MAX_QUERY_BYTES, MAX_CONNECTIONS)
            .open(
                address,
                null,
                BindRetry.MAX_WAIT,
                call -> CompletableFuture.completedFuture(echo(call)))
            .syncUninterruptibly()
            .getNow();
    address = (InetSocketAddress) channel.localAddress();
  }

  /** Closes the listener. */
  @AfterClass
  public void close() {
    eventLoop.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private static HttpReply echo(HttpCall call) {
    byte[] body = ("requester=" + call.requester()).getBytes(StandardCharsets.UTF_8);
    return new HttpReply(200, "text/plain", body);
  }

  private String answerTo(String localAddress) throws IOException {
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.bind(new InetSocketAddress(localAddress, 0));
      socket.connect(address, TIMEOUT_MILLIS);
      String head = "GET /entries HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  /** The address of a caller identifies it, whatever its port, so that its lists are stable. */
  @Test
  public void addressIdentifiesRequester() throws Exception {
    assertTrue(answerTo("127.0.0.9").endsWith("requester=127.0.0.9"));
    assertTrue(answerTo("127.0.0.9").endsWith("requester=127.0.0.9"));
  }

  /**
   * Guards against callers of one host that all get the same selection of entries, since they have
   * the host's first loopback address.
   */
  @Test
  public void sharedLoopbackAddressIdentifiesNoRequester() throws Exception {
    String answer = answerTo("127.0.0.1");
    assertEquals(answer.substring(answer.length() - "requester=".length()), "requester=");
  }
}
