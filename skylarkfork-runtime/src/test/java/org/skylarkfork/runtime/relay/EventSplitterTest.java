package org.skylarkfork.runtime.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;

/** Tests of {@link EventSplitter}. */
public final class EventSplitterTest {

  private static final String STREAM =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n: note\n\nid: 30\ndata: ä\n\n";

  private static String takeText(EventSplitter splitter) {
    ByteBuf whole = splitter.takeWholeEvents();
    if (whole == null) {
      return "";
    }
    String text = whole.toString(StandardCharsets.UTF_8);
    whole.release();
    return text;
  }

  /** However the bytes are cut on their way, only whole events come out, and all of them. */
  @Test
  public void eventsDoNotDependOnHowBytesAreSplit() {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(20261204L);
    byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
    for (int run = 0; run < 5_000; run++) {
      EventSplitter splitter = new EventSplitter(Unpooled.buffer());
      StringBuilder all = new StringBuilder();
      int from = 0;
      while (from < bytes.length) {
        int length = Math.min(bytes.length - from, 1 + random.nextInt(12));
        splitter.add(Unpooled.wrappedBuffer(bytes, from, length));
        from += length;
        String events = takeText(splitter);
        assertTrue(events.isEmpty() || events.endsWith("\n\n") || events.endsWith("\r\n\r\n"));
        all.append(events);
      }
      assertEquals(all.toString(), STREAM);
      assertEquals(splitter.lastId(), "30");
      splitter.release();
    }
  }

  @Test
  public void partialEventIsHeldBack() {
    EventSplitter splitter = new EventSplitter(Unpooled.buffer());
    splitter.add(Unpooled.copiedBuffer("id: 1\ndata: a\n", StandardCharsets.UTF_8));
    assertNull(splitter.takeWholeEvents());
    assertNull(splitter.lastId());
    assertTrue(splitter.hasPartialEvent());
    splitter.release();
  }
}
