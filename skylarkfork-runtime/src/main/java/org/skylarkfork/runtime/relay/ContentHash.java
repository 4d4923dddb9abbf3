package org.skylarkfork.runtime.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Locale;
import org.apache.commons.codec.digest.MurmurHash3;
import org.skylarkfork.core.routing.StableHash;

/**
 * Hashes the properties that a request shares with its retries: method, host, path and body.
 *
 * <p>Ids, deadlines and trace headers differ for each retry and aren't included. The hash is the
 * same on each entry, regardless of how the body was split into pieces. It isn't cryptographic and
 * can be made to collide on purpose; {@link org.skylarkfork.core.crash.RequestKey} keeps the hashes
 * of teams apart.
 */
public final class ContentHash {

  private static final int SEED = 0;

  private ContentHash() {}

  /**
   * Returns the hash.
   *
   * @param head the request's head
   * @param body the complete body, whose reader index stays
   */
  public static long of(HttpRequest head, ByteBuf body) {
    byte[] bytes = ByteBufUtil.getBytes(body, body.readerIndex(), body.readableBytes(), false);
    long[] hash = MurmurHash3.hash128x64(bytes, 0, bytes.length, SEED);
    return StableHash.of(
        head.method().name(),
        head.headers().get(HttpHeaderNames.HOST, "").toLowerCase(Locale.ROOT),
        head.uri(),
        Long.toHexString(hash[0]),
        Long.toHexString(hash[1]));
  }
}
