package org.skylarkfork.runtime.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;

/** Tests of {@link FrameDecoder}. */
public final class FrameDecoderTest {

  private static final int LIMIT = 100_000;
  private static final int FUZZ_RUNS = 20_000;

  @Test
  public void testFrameReceivedByteByByteIsDecoded() {
    byte[] frame = new Frame(Frame.Kind.MESSAGE, new byte[] {1, 2, 3}).toBytes();
    EmbeddedChannel channel = new EmbeddedChannel(new FrameDecoder(LIMIT));
    for (byte piece : frame) {
      channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {piece}));
    }
    ByteBuf read = channel.readInbound();
    Frame found = Frame.read(read);
    assertEquals(found.kind(), Frame.Kind.MESSAGE);
    assertEquals(found.payload(), new byte[] {1, 2, 3});
    read.release();
    channel.finishAndReleaseAll();
  }

  @Test
  public void testFuzzedBytesGiveOnlyTypedErrors() {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(32L);
    int refused = 0;
    int frames = 0;
    for (int i = 0; i < FUZZ_RUNS; i++) {
      byte[] bytes = new byte[random.nextInt(200)];
      random.nextBytes(bytes);
      if (bytes.length > 4 && random.nextBoolean()) {
        bytes[0] = 0;
        bytes[1] = 0;
        bytes[2] = 0;
        bytes[4] = (byte) random.nextInt(6);
      }
      EmbeddedChannel channel = new EmbeddedChannel(new FrameDecoder(LIMIT));
      try {
        try {
          channel.writeInbound(Unpooled.wrappedBuffer(bytes));
        } finally {
          frames += read(channel);
        }
      } catch (DecoderException e) {
        assertTrue(e.getCause() instanceof TransportException, e.toString());
        refused++;
      } catch (TransportException e) {
        refused++;
      } finally {
        channel.finishAndReleaseAll();
      }
    }
    System.out.println(
        "transport: fuzzed bytes " + FUZZ_RUNS + ", refused " + refused + ", frames " + frames);
    assertTrue(refused > FUZZ_RUNS / 4 && frames > FUZZ_RUNS / 50);
  }

  private static int read(EmbeddedChannel channel) {
    int frames = 0;
    for (ByteBuf read = channel.readInbound(); read != null; read = channel.readInbound()) {
      assertTrue(read.readableBytes() <= LIMIT);
      try {
        Frame.read(read);
        frames++;
      } finally {
        read.release();
      }
    }
    return frames;
  }
}
