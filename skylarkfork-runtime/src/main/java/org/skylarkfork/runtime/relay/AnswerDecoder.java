package org.skylarkfork.runtime.relay;

import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes answers of upstreams and tells whether bytes follow the newest one. */
final class AnswerDecoder extends HttpResponseDecoder {

  AnswerDecoder() {
    super(HttpDecoderLimits.decoderConfig());
  }

  /** Returns whether bytes were read that are not decoded yet. */
  boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }
}
