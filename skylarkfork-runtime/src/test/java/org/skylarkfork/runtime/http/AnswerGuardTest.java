package org.skylarkfork.runtime.http;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of which answers a kept connection passes on, and when it is closed. */
public final class AnswerGuardTest {

  private EmbeddedChannel channel = new EmbeddedChannel();

  /** Opens a connection. */
  @BeforeMethod
  public void open() {
    channel = new EmbeddedChannel(new AnswerGuard());
  }

  private void request(String id) {
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x");
    request.headers().set(HttpNames.REQUEST_ID, id);
    channel.writeOutbound(request);
  }

  private @Nullable HttpResponse answer(HttpResponseStatus status, @Nullable String id) {
    DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
    if (id != null) {
      answer.headers().set(HttpNames.REQUEST_ID, id);
    }
    channel.writeInbound(answer);
    return channel.readInbound();
  }

  /** Returns ids that an answer to request r may name, and whether its connection is kept. */
  @DataProvider
  public static Object[][] names() {
    return new Object[][] {{"r", true}, {"q", false}, {null, false}};
  }

  /** Guards against a connection that is kept though its answers can't be told apart. */
  @Test(dataProvider = "names")
  public void connectionIsKeptOnlyAfterAnswersThatNameTheirRequest(
      @Nullable String named, boolean isKept) {
    request("r");
    HttpResponse passed = answer(HttpResponseStatus.OK, named);
    assertTrue(passed != null && HttpUtil.isKeepAlive(passed) == isKept);
  }

  /** Guards against a connection that is kept after bytes that belong to no request. */
  @Test
  public void answerOnIdleConnectionClosesIt() {
    request("r");
    answer(HttpResponseStatus.OK, "r");
    assertTrue(channel.isOpen());
    assertNull(answer(HttpResponseStatus.OK, "r"));
    assertFalse(channel.isOpen());
  }

  /** Guards against an answer without an id that counts as that to a second request. */
  @Test
  public void unnamedAnswerToSecondRequestEndsTheConnection() {
    request("r");
    answer(HttpResponseStatus.OK, "r");
    request("q");
    expectThrows(IOException.class, () -> answer(HttpResponseStatus.OK, null));
    assertNull(channel.readInbound());
    assertFalse(channel.isOpen());
  }

  /** Guards against a success that is joined from a cut copy and the failure after it. */
  @Test
  public void joinedHeadEndsTheConnection() {
    request("r");
    answer(HttpResponseStatus.OK, "r");
    request("q");
    DefaultFullHttpResponse joined =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    joined.headers().set(HttpNames.REQUEST_ID, "q");
    joined.headers().set("Server", "anyHTTP/1.1 404 Not Found");
    expectThrows(IOException.class, () -> channel.writeInbound(joined));
    assertFalse(channel.isOpen());
  }

  /** Guards against an interim answer that counts as the end of its request. */
  @Test
  public void answerAfterInterimOneIsPassedOn() {
    request("r");
    answer(HttpResponseStatus.OK, "r");
    request("q");
    answer(HttpResponseStatus.PROCESSING, null);
    HttpResponse passed = answer(HttpResponseStatus.OK, "q");
    assertTrue(passed != null && HttpUtil.isKeepAlive(passed));
    assertTrue(channel.isOpen());
  }
}
