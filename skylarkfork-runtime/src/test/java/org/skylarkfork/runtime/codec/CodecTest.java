package org.skylarkfork.runtime.codec;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.GroupState;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.message.PeerMessage;
import org.skylarkfork.core.message.RaftMessage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link Codec}. */
public final class CodecTest {

  private static final int SAMPLES_PER_RECORD = 30;
  private static final int FUZZED_INPUTS = 20_000;

  private final Codec codec = new Codec();

  enum Colour {
    RED,
    GREEN
  }

  sealed interface Shape {
    record Dot() implements Shape {}

    record Group(List<Shape> parts, Set<String> names) implements Shape {}

    record Full(
        Instant at,
        Duration span,
        Optional<String> note,
        byte[] raw,
        Map<GroupId, Integer> sizes,
        Map<Colour, Shape> byColour,
        Colour colour)
        implements Shape {

      public boolean isEmpty() {
        return raw.length == 0;
      }

      public String getTitle() {
        return "derived";
      }

      public Full copy() {
        return this;
      }
    }
  }

  @DataProvider
  Object[] families() {
    return new Object[] {
      Event.class,
      Effect.class,
      PeerMessage.class,
      Command.class,
      CommandResult.class,
      GroupState.class,
      Shape.class
    };
  }

  @Test(dataProvider = "families")
  public void testEachRecordOfFamilyRoundTrips(Class<?> family) {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(11L);
    Samples samples = new Samples(random);
    int count = 0;
    for (Class<?> leaf : Samples.leaves(family)) {
      for (int i = 0; i < SAMPLES_PER_RECORD; i++) {
        Object value = samples.sample(leaf);
        String json = codec.toJson(value);
        assertEquals(codec.toJson(codec.fromBytes(codec.toBytes(value), family)), json);
        assertEquals(codec.toJson(codec.fromJson(json, family)), json);
        assertEquals(codec.fromBytes(codec.toBytes(value), family).getClass(), leaf);
        count++;
      }
    }
    System.out.println("codec: " + family.getSimpleName() + " round trips: " + count);
  }

  @Test
  public void testJsonHoldsTypeNameAndOnlyComponents() {
    Shape.Full full =
        new Shape.Full(
            Instant.parse("2026-01-02T03:04:05.000000006Z"),
            Duration.ofMillis(1500),
            Optional.empty(),
            new byte[] {1},
            Map.of(new GroupId("g", 1), 2),
            Map.of(Colour.RED, new Shape.Dot()),
            Colour.GREEN);
    String json = codec.toJson(full);
    assertTrue(json.startsWith("{\"@type\":\"CodecTest.Shape.Full\""), json);
    assertTrue(json.contains("\"2026-01-02T03:04:05.000000006Z\""), json);
    assertTrue(json.contains("\"PT1.5S\""), json);
    assertFalse(json.contains("derived") || json.contains("empty") || json.contains("copy"), json);
    Shape.Full read = codec.fromBytes(codec.toBytes(full), Shape.Full.class);
    assertEquals(read.sizes(), full.sizes());
    assertEquals(read.at(), full.at());
  }

  @Test
  public void testTimesBeyondRangeOfNanosRoundTrip() {
    for (Instant at : List.of(Instant.MAX, Instant.MIN, Instant.EPOCH.minusNanos(1))) {
      Shape.Full full =
          new Shape.Full(
              at,
              Duration.ofSeconds(Long.MAX_VALUE),
              Optional.of("x"),
              new byte[0],
              Map.of(),
              Map.of(),
              Colour.RED);
      Shape.Full read = codec.fromBytes(codec.toBytes(full), Shape.Full.class);
      assertEquals(read.at(), at);
      assertEquals(read.span(), full.span());
    }
  }

  @Test
  public void testAdjacentVersionsAreCompatible() {
    String newer = "{\"@type\":\"CodecTest.Shape.Group\",\"later\":{\"a\":[1]},\"names\":[\"n\"]}";
    Shape.Group read = (Shape.Group) codec.fromJson(newer, Shape.class);
    assertEquals(read, new Shape.Group(List.of(), Set.of("n")));
  }

  @Test
  public void testUnknownTypeAndConstantAreReportedAsUnknownType() {
    CodecException type =
        expectThrows(
            CodecException.class,
            () -> codec.fromJson("{\"@type\":\"RaftMessage.Later\"}", PeerMessage.class));
    assertEquals(type.kind(), CodecException.Kind.UNKNOWN_TYPE);
    assertTrue(type.getMessage().contains("upgrade"), type.getMessage());
    CodecException constant =
        expectThrows(
            CodecException.class,
            () ->
                codec.fromJson(
                    "{\"@type\":\"CodecTest.Shape.Full\",\"colour\":\"BLUE\"}", Shape.class));
    assertEquals(constant.kind(), CodecException.Kind.UNKNOWN_TYPE);
  }

  @Test
  public void testUnserializableValueIsUnsupported() {
    CodecException rejected =
        expectThrows(CodecException.class, () -> codec.toBytes(new Thread("never started")));
    assertEquals(rejected.kind(), CodecException.Kind.UNSUPPORTED);
  }

  @Test
  public void testTrailingDataIsRejected() {
    byte[] valid = codec.toBytes(new Shape.Dot());
    byte[] longer = Arrays.copyOf(valid, valid.length + 1);
    expectThrows(CodecException.class, () -> codec.fromBytes(longer, Shape.class));
    String text = codec.toJson(new Shape.Dot()) + " 1";
    expectThrows(CodecException.class, () -> codec.fromJson(text, Shape.class));
  }

  @Test
  public void testDeepNestingAndHugeLengthsAreRejected() {
    String open = "{\"@type\":\"CodecTest.Shape.Group\",\"parts\":[";
    StringBuilder deep = new StringBuilder();
    for (int i = 0; i < 200_000; i++) {
      deep.append(open);
    }
    expectThrows(CodecException.class, () -> codec.fromJson(deep.toString(), Shape.class));
    byte[] small = codec.toBytes(new Shape.Group(List.of(new Shape.Dot()), Set.of()));
    int inner = new String(small, StandardCharsets.ISO_8859_1).indexOf("parts") + 6;
    byte[] nested = new byte[inner * 100_000];
    for (int i = 0; i < 100_000; i++) {
      System.arraycopy(small, 0, nested, i * inner, inner);
    }
    expectThrows(CodecException.class, () -> codec.fromBytes(nested, Shape.class));
    for (int header : new int[] {0xc6, 0xc9, 0xdb, 0xdd, 0xdf}) {
      byte[] claim = {(byte) header, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 0, 0};
      expectThrows(CodecException.class, () -> codec.fromBytes(claim, PeerMessage.class));
    }
  }

  @Test
  public void testFuzzedBytesThrowOnlyCodecException() {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(12L);
    byte[] valid = codec.toBytes(new RaftMessage.VoteRequest(GroupId.LEDGER, 7, 8, 9, true, false));
    int rejected = 0;
    for (int i = 0; i < FUZZED_INPUTS; i++) {
      byte[] bytes;
      if (i % 2 == 0) {
        bytes = new byte[random.nextInt(64)];
        random.nextBytes(bytes);
      } else {
        bytes = Arrays.copyOf(valid, random.nextInt(valid.length) + 1);
        bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
      }
      try {
        codec.fromBytes(bytes, PeerMessage.class);
      } catch (CodecException e) {
        rejected++;
      }
    }
    System.out.println("codec: fuzzed " + FUZZED_INPUTS + ", rejected " + rejected);
    assertTrue(rejected > FUZZED_INPUTS / 2, "rejected " + rejected);
  }
}
