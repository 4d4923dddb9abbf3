package org.skylarkfork.runtime.http;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Collects a body within a bound, so that a long one can't take the daemon's memory. */
final class BoundedBody {

  private BoundedBody() {}

  /**
   * Collects a body.
   *
   * @param parts its parts, which are released by their source
   * @param maxBytes longest body
   * @param tooLong makes the failure of a longer one
   */
  static Mono<byte[]> collect(
      Flux<ByteBuf> parts, int maxBytes, Supplier<? extends RuntimeException> tooLong) {
    return collect(parts, maxBytes, tooLong, bytes -> {});
  }

  /**
   * Collects a body and tells how it grows.
   *
   * @param parts its parts, which are released by their source
   * @param maxBytes longest body
   * @param tooLong makes the failure of a longer one
   * @param onSize receives the size with each part, before it is added
   */
  static Mono<byte[]> collect(
      Flux<ByteBuf> parts,
      int maxBytes,
      Supplier<? extends RuntimeException> tooLong,
      IntConsumer onSize) {
    return parts
        .collect(
            ByteArrayOutputStream::new,
            (collected, part) -> {
              onSize.accept(collected.size() + part.readableBytes());
              append(collected, part, maxBytes, tooLong);
            })
        .map(ByteArrayOutputStream::toByteArray);
  }

  private static void append(
      ByteArrayOutputStream collected,
      ByteBuf part,
      int maxBytes,
      Supplier<? extends RuntimeException> tooLong) {
    if (collected.size() + part.readableBytes() > maxBytes) {
      throw tooLong.get();
    }
    byte[] bytes = new byte[part.readableBytes()];
    part.readBytes(bytes);
    collected.writeBytes(bytes);
  }
}
