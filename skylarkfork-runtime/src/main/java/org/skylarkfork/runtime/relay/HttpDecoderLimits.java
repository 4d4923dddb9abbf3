package org.skylarkfork.runtime.relay;

import io.netty.handler.codec.http.HttpDecoderConfig;

/** Sizes of what HTTP decoders take. */
final class HttpDecoderLimits {

  private static final int MAX_LINE_BYTES = 16 * 1024;
  private static final int MAX_HEADER_BYTES = 64 * 1024;
  private static final int MAX_CHUNK_BYTES = 16 * 1024;

  private HttpDecoderLimits() {}

  static HttpDecoderConfig decoderConfig() {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(MAX_LINE_BYTES)
        .setMaxHeaderSize(MAX_HEADER_BYTES)
        .setMaxChunkSize(MAX_CHUNK_BYTES);
  }
}
