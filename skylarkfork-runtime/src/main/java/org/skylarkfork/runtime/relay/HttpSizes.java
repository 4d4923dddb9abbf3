package org.skylarkfork.runtime.relay;

import io.netty.handler.codec.http.HttpDecoderConfig;

/** Sizes of what HTTP decoders take. */
final class HttpSizes {

  private static final int LINE_BYTES = 16 * 1024;
  private static final int HEADER_BYTES = 64 * 1024;
  private static final int CHUNK_BYTES = 16 * 1024;

  private HttpSizes() {}

  static HttpDecoderConfig decoder() {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(LINE_BYTES)
        .setMaxHeaderSize(HEADER_BYTES)
        .setMaxChunkSize(CHUNK_BYTES);
  }
}
