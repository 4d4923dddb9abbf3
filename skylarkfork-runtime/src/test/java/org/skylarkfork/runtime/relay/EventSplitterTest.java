package org.skylarkfork.runtime.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkfork.core.answer.ForwardedEvents;
import org.testng.annotations.Test;

/** Tests of {@link EventSplitter}. */
public final class EventSplitterTest {

  private static final String STREAM =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n: note\n\nid: 30\ndata: ä\n\n";

  private static final List<String> LINES =
      List.of(
          "id: 7",
          "id:8",
          "id:  9",
          "id",
          "id:",
          "id: 1\0",
          "identity: 3",
          "data: a",
          "data: äöü€",
          "data",
          "event: x",
          "retry: 5",
          ": note",
          ":",
          "",
          "",
          "");

  private static final List<String> LINE_ENDS = List.of("\n", "\r\n", "\r");

  private static final int GENERATED_STREAMS = 300;

  private static byte[] take(EventSplitter splitter) {
    ByteBuf events = splitter.takeWholeEvents();
    if (events == null) {
      return new byte[0];
    }
    byte[] bytes = new byte[events.readableBytes()];
    events.readBytes(bytes);
    events.release();
    return bytes;
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static EventSplitter splitterOf(String text) {
    EventSplitter splitter = new EventSplitter(Unpooled.buffer(), false);
    splitter.add(Unpooled.wrappedBuffer(bytes(text)));
    return splitter;
  }

  /** The splitter returns only whole events, and all of them, however the bytes are split. */
  @Test
  public void eventsDoNotDependOnHowBytesAreSplit() {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(20261204L);
    byte[] bytes = bytes(STREAM);
    for (int run = 0; run < 5_000; run++) {
      assertEquals(new String(checkSplit(bytes, random), StandardCharsets.UTF_8), STREAM);
    }
  }

  /** Guards against a cut event that counts as whole, and a whole one that counts as cut. */
  @Test
  public void generatedStreamsAreSplitAsTheStandardSays() {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(20261203L);
    for (int run = 0; run < GENERATED_STREAMS; run++) {
      byte[] stream = generate(random);
      for (int cut = 0; cut <= stream.length; cut++) {
        byte[] received = Arrays.copyOf(stream, cut);
        checkSplit(received, random);
      }
    }
  }

  private static byte[] generate(UniformRandomProvider random) {
    StringBuilder stream = new StringBuilder(random.nextInt(4) == 0 ? "\uFEFF" : "");
    int lines = 1 + random.nextInt(12);
    for (int line = 0; line < lines; line++) {
      stream.append(LINES.get(random.nextInt(LINES.size())));
      stream.append(LINE_ENDS.get(random.nextInt(LINE_ENDS.size())));
    }
    return bytes(stream.toString());
  }

  /** Adds the bytes in random parts, compares with the reader and returns all that was taken. */
  private static byte[] checkSplit(byte[] received, UniformRandomProvider random) {
    EventSplitter splitter = new EventSplitter(Unpooled.buffer(), false);
    ByteArrayOutputStream taken = new ByteArrayOutputStream();
    int from = 0;
    while (from < received.length) {
      int length = Math.min(received.length - from, 1 + random.nextInt(12));
      splitter.add(Unpooled.wrappedBuffer(received, from, length));
      from += length;
      taken.writeBytes(take(splitter));
      assertFalse(new EventReader(taken.toByteArray()).endsInside());
    }
    EventReader reader = new EventReader(received);
    EventReader takenReader = new EventReader(taken.toByteArray());
    assertEquals(takenReader.events(), reader.events());
    assertEquals(splitter.events(), reader.events().size());
    assertEquals(splitter.unfinishedBytes() > 0, reader.endsInside());
    assertEquals(taken.size() + splitter.unfinishedBytes(), received.length);
    assertEquals(splitter.position(), positionAfter(reader.events()));
    splitter.release();
    return taken.toByteArray();
  }

  private static ForwardedEvents positionAfter(List<EventReader.ReadEvent> events) {
    String lastId = null;
    boolean continuable = true;
    for (EventReader.ReadEvent event : events) {
      lastId = event.id() == null ? lastId : event.id();
      continuable = event.id() != null && event.id().matches("[!-~]([ -~]*[!-~])?");
    }
    return new ForwardedEvents(lastId, continuable);
  }

  @Test
  public void partialEventIsHeldBack() {
    EventSplitter splitter = splitterOf("id: 1\ndata: a\n");
    assertNull(splitter.takeWholeEvents());
    assertEquals(splitter.position(), ForwardedEvents.NONE);
    assertTrue(splitter.unfinishedBytes() > 0);
    splitter.release();
  }

  /** Guards against a stream that seems to end inside an event because of a comment. */
  @Test
  public void commentBetweenEventsIsNoPartOfAnEvent() {
    EventSplitter splitter = splitterOf("id: 1\ndata: a\n\n: alive\n");
    assertEquals(new String(take(splitter), StandardCharsets.UTF_8), "id: 1\ndata: a\n\n: alive\n");
    assertEquals(splitter.unfinishedBytes(), 0);
    splitter.release();
  }

  /** Guards against an entry that ends because an id can't be named in a request. */
  @Test
  public void positionAfterAnIdThatNoHeaderCanHoldIsUnknown() {
    for (String id : List.of("a\tb", "ä", "", " 1", "1 ")) {
      EventSplitter splitter = splitterOf("id: " + id + "\ndata: a\n\n");
      assertFalse(splitter.position().isContinuable(), id);
      splitter.release();
    }
  }

  /**
   * Guards against a byte order mark in the middle of a stream, which spoils the field after it.
   */
  @Test
  public void byteOrderMarkOfLaterRunIsLeftOut() {
    EventSplitter splitter = new EventSplitter(Unpooled.buffer(), true);
    splitter.add(Unpooled.wrappedBuffer(bytes("\uFEFFid: 3\ndata: c\n\n")));
    assertEquals(new String(take(splitter), StandardCharsets.UTF_8), "id: 3\ndata: c\n\n");
    splitter.release();
  }
}
