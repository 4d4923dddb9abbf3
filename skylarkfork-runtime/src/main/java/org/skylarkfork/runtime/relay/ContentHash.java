package org.skylarkfork.runtime.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Locale;
import org.apache.commons.codec.digest.MurmurHash3;
import org.skylarkfork.core.routing.StableHash;

/**
 * Hashes what a request has in common with the same one sent again: method, host, path and body.
 *
 * <p>Ids, deadlines and trace headers differ each time. The hash is the same on each entry, however
 * the body was cut into pieces on its way. It is no secret and resists no one who looks for two
 * bodies alike; {@link org.skylarkfork.core.crash.RequestKey} keeps teams apart.
 */
public final class ContentHash {

  private static final int SEED = 0;

  private ContentHash() {}

  /**
   * Returns the hash.
   *
   * @param head the request's head
   * @param body its whole body, not read on
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
