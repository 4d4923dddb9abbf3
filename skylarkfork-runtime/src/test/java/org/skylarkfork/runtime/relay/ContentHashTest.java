package org.skylarkfork.runtime.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Tests of {@link ContentHash}. */
public final class ContentHashTest {

  private static HttpRequest head(HttpMethod method, String host, String path, String id) {
    HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, path);
    head.headers().set("Host", host).set("X-Request-Id", id).set("X-Deadline-Ms", id.length());
    return head;
  }

  private static ByteBuf body(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }

  private static long hash(HttpMethod method, String host, String path, String text) {
    return ContentHash.of(head(method, host, path, "one"), body(text));
  }

  /** A repeat has a new id and deadline, and its body comes in other pieces. */
  @Test
  public void retriedRequestHasTheSameHash() {
    CompositeByteBuf pieces = Unpooled.compositeBuffer();
    pieces.addComponent(true, body("the bo")).addComponent(true, body("dy"));
    assertEquals(
        ContentHash.of(head(HttpMethod.POST, "Host.Example", "/a/b?c", "another"), pieces),
        hash(HttpMethod.POST, "host.example", "/a/b?c", "the body"));
    assertEquals(pieces.readableBytes(), 8);
  }

  @Test
  public void differentRequestsHaveDifferentHashes() {
    long known = hash(HttpMethod.POST, "host", "/a/b", "body");
    assertNotEquals(hash(HttpMethod.PUT, "host", "/a/b", "body"), known);
    assertNotEquals(hash(HttpMethod.POST, "host2", "/a/b", "body"), known);
    assertNotEquals(hash(HttpMethod.POST, "host", "/a/b?x", "body"), known);
    assertNotEquals(hash(HttpMethod.POST, "host", "/a/b", "bodx"), known);
    assertNotEquals(hash(HttpMethod.POST, "host", "/a/b", ""), known);
  }
}
