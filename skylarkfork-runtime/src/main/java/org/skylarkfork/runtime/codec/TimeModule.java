package org.skylarkfork.runtime.codec;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import java.io.IOException;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;

/**
 * Serializes instants and durations as nanoseconds or as ISO 8601 text.
 *
 * <p>A value beyond the range of a long in nanoseconds (292 years) is written as text in both
 * formats. Both forms are accepted for reading.
 */
final class TimeModule extends SimpleModule {

  private static final long serialVersionUID = 1L;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** Creates the module; {@code asNanos} selects nanoseconds instead of text. */
  TimeModule(boolean asNanos) {
    super(asNanos ? "time-as-numbers" : "time-as-text");
    addSerializer(Instant.class, new InstantSerializer(asNanos));
    addSerializer(Duration.class, new DurationSerializer(asNanos));
    addDeserializer(Instant.class, new InstantDeserializer());
    addDeserializer(Duration.class, new DurationDeserializer());
  }

  private static final class InstantSerializer extends StdSerializer<Instant> {
    private static final long serialVersionUID = 1L;
    private final boolean asNanos;

    InstantSerializer(boolean asNanos) {
      super(Instant.class);
      this.asNanos = asNanos;
    }

    @Override
    public void serialize(Instant value, JsonGenerator out, SerializerProvider provider)
        throws IOException {
      if (!asNanos) {
        out.writeString(value.toString());
        return;
      }
      try {
        long seconds = Math.multiplyExact(value.getEpochSecond(), NANOS_PER_SECOND);
        out.writeNumber(Math.addExact(seconds, value.getNano()));
      } catch (ArithmeticException e) {
        out.writeString(value.toString());
      }
    }
  }

  private static final class DurationSerializer extends StdSerializer<Duration> {
    private static final long serialVersionUID = 1L;
    private final boolean asNanos;

    DurationSerializer(boolean asNanos) {
      super(Duration.class);
      this.asNanos = asNanos;
    }

    @Override
    public void serialize(Duration value, JsonGenerator out, SerializerProvider provider)
        throws IOException {
      if (!asNanos) {
        out.writeString(value.toString());
        return;
      }
      try {
        out.writeNumber(value.toNanos());
      } catch (ArithmeticException e) {
        out.writeString(value.toString());
      }
    }
  }

  private static final class InstantDeserializer extends StdDeserializer<Instant> {
    private static final long serialVersionUID = 1L;

    InstantDeserializer() {
      super(Instant.class);
    }

    @Override
    public Instant deserialize(JsonParser in, DeserializationContext context) throws IOException {
      if (in.currentToken() == JsonToken.VALUE_NUMBER_INT) {
        long nanos = in.getLongValue();
        return Instant.ofEpochSecond(
            Math.floorDiv(nanos, NANOS_PER_SECOND), Math.floorMod(nanos, NANOS_PER_SECOND));
      }
      try {
        return Instant.parse(in.getText());
      } catch (DateTimeException e) {
        return (Instant)
            context.handleWeirdStringValue(Instant.class, in.getText(), "not an ISO 8601 instant");
      }
    }
  }

  private static final class DurationDeserializer extends StdDeserializer<Duration> {
    private static final long serialVersionUID = 1L;

    DurationDeserializer() {
      super(Duration.class);
    }

    @Override
    public Duration deserialize(JsonParser in, DeserializationContext context) throws IOException {
      if (in.currentToken() == JsonToken.VALUE_NUMBER_INT) {
        return Duration.ofNanos(in.getLongValue());
      }
      try {
        return Duration.parse(in.getText());
      } catch (DateTimeException e) {
        return (Duration)
            context.handleWeirdStringValue(
                Duration.class, in.getText(), "not an ISO 8601 duration");
      }
    }
  }
}
