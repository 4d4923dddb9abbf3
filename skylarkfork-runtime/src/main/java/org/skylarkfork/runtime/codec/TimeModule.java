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
 * Writes points in time and spans as numbers of nanoseconds or as ISO 8601 text.
 *
 * <p>A value beyond the range of a long (292 years) is text in both formats; readers take both.
 */
final class TimeModule extends SimpleModule {

  private static final long serialVersionUID = 1L;
  private static final long NANOS_A_SECOND = 1_000_000_000L;

  /** Creates the module; {@code numbers} chooses nanoseconds over text. */
  TimeModule(boolean numbers) {
    super(numbers ? "time-as-numbers" : "time-as-text");
    addSerializer(Instant.class, new InstantSerializer(numbers));
    addSerializer(Duration.class, new DurationSerializer(numbers));
    addDeserializer(Instant.class, new InstantDeserializer());
    addDeserializer(Duration.class, new DurationDeserializer());
  }

  private static final class InstantSerializer extends StdSerializer<Instant> {
    private static final long serialVersionUID = 1L;
    private final boolean numbers;

    InstantSerializer(boolean numbers) {
      super(Instant.class);
      this.numbers = numbers;
    }

    @Override
    public void serialize(Instant value, JsonGenerator out, SerializerProvider provider)
        throws IOException {
      if (!numbers) {
        out.writeString(value.toString());
        return;
      }
      try {
        long seconds = Math.multiplyExact(value.getEpochSecond(), NANOS_A_SECOND);
        out.writeNumber(Math.addExact(seconds, value.getNano()));
      } catch (ArithmeticException e) {
        out.writeString(value.toString());
      }
    }
  }

  private static final class DurationSerializer extends StdSerializer<Duration> {
    private static final long serialVersionUID = 1L;
    private final boolean numbers;

    DurationSerializer(boolean numbers) {
      super(Duration.class);
      this.numbers = numbers;
    }

    @Override
    public void serialize(Duration value, JsonGenerator out, SerializerProvider provider)
        throws IOException {
      if (!numbers) {
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
            Math.floorDiv(nanos, NANOS_A_SECOND), Math.floorMod(nanos, NANOS_A_SECOND));
      }
      try {
        return Instant.parse(in.getText());
      } catch (DateTimeException e) {
        return (Instant)
            context.handleWeirdStringValue(Instant.class, in.getText(), "not an ISO 8601 time");
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
            context.handleWeirdStringValue(Duration.class, in.getText(), "not an ISO 8601 span");
      }
    }
  }
}
