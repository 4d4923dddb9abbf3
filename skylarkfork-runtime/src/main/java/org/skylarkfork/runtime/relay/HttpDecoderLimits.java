package org.skylarkfork.runtime.relay;

import io.netty.handler.codec.http.HttpDecoderConfig;

/** Size limits of the HTTP decoders. */
final class HttpDecoderLimits {

  private static final int MAX_LINE_BYTES = 16 * 1024;
  private static final int MAX_HEADER_BYTES = 64 * 1024;
  private static final int MAX_CHUNK_BYTES = 16 * 1024;

  private HttpDecoderLimits() {}

  /**
   * Returns the limits of a decoder of requests.
   *
   * @param maxHeaderBytes maximum size of the header lines, and of the request line, in bytes
   */
  static HttpDecoderConfig requestConfig(int maxHeaderBytes) {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(maxHeaderBytes)
        .setMaxHeaderSize(maxHeaderBytes)
        .setMaxChunkSize(MAX_CHUNK_BYTES);
  }

  /** Returns the limits of a decoder of answers. */
  static HttpDecoderConfig decoderConfig() {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(MAX_LINE_BYTES)
        .setMaxHeaderSize(MAX_HEADER_BYTES)
        .setMaxChunkSize(MAX_CHUNK_BYTES);
  }
}
