package org.skylarkfork.runtime.codec;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.exc.InvalidDefinitionException;
import com.fasterxml.jackson.databind.exc.InvalidFormatException;
import com.fasterxml.jackson.databind.exc.InvalidTypeIdException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.skylarkfork.runtime.limits.JsonLimits;

/**
 * Codec for the wire, the disk, golden files and the timeline.
 *
 * <p>Supports records of primitives, strings, enums, byte arrays, {@code Instant}, {@code
 * Duration}, {@code Optional}, {@code List}, {@code Set}, {@code Map} and nested records. A member
 * of a sealed family is written with its type name, such as {@code RaftMessage.VoteRequest}.
 * Unknown fields are ignored and missing collections are read as empty, so that processes of
 * adjacent versions are compatible. Thread-safe.
 */
public final class Codec implements BinaryCodec {

  private static final int MAX_DETAIL_CHARACTERS = 200;

  private final ObjectMapper json;
  private final ObjectMapper messagePack;

  /** Creates a codec. */
  public Codec() {
    json = mapper(JsonLimits.factory(), false);
    json.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    json.setSerializerFactory(
        json.getSerializerFactory().withSerializerModifier(new StableOrder(json)));
    json.registerModule(new RecordKeyModule(json));
    messagePack = mapper(new MessagePackFactory(), true);
    messagePack.registerModule(new RecordKeyModule(json));
  }

  /**
   * Serializes a value as MessagePack.
   *
   * @throws CodecException of kind {@code UNSUPPORTED} if its class can't be serialized
   */
  @Override
  public byte[] toBytes(Object value) {
    try {
      return messagePack.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw unsupported(value, e);
    }
  }

  /**
   * Deserializes a value from MessagePack.
   *
   * @param bytes exactly one serialized value
   * @param type the expected record or sealed interface
   * @throws CodecException if the bytes aren't exactly one value of the type
   */
  @Override
  public <T> T fromBytes(byte[] bytes, Class<T> type) {
    return read(type, () -> readWhole(bytes, type));
  }

  /**
   * Serializes a value as one line of JSON, with maps and sets in a stable order.
   *
   * @throws CodecException of kind {@code UNSUPPORTED} if its class can't be serialized
   */
  public String toJson(Object value) {
    try {
      return json.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw unsupported(value, e);
    }
  }

  /**
   * Deserializes a value from JSON.
   *
   * @param text exactly one serialized value
   * @param type the expected record or sealed interface
   * @throws CodecException if the text isn't exactly one value of the type
   */
  public <T> T fromJson(String text, Class<T> type) {
    return read(type, () -> json.readValue(text, type));
  }

  /**
   * Deserializes a value that a client sent as JSON.
   *
   * @param text exactly one serialized value
   * @param type the expected record or sealed interface
   * @throws CodecException if the text isn't exactly one value of the type, or lacks one that the
   *     type requires; a missing number is 0 and a missing collection is empty
   */
  public <T> T fromCompleteJson(String text, Class<T> type) {
    T value = fromJson(text, type);
    String missing = RequiredValues.firstMissing(value);
    if (missing != null) {
      throw new CodecException(CodecException.Kind.MALFORMED, missing + " is missing", null);
    }
    return value;
  }

  private <T> T readWhole(byte[] bytes, Class<T> type) throws IOException {
    try (JsonParser in = messagePack.createParser(bytes)) {
      T value = messagePack.readValue(in, type);
      long endOffset = in.currentLocation().getCharOffset(); // a byte offset in MessagePack
      if (endOffset != bytes.length) {
        throw new JsonParseException(
            in, "trailing bytes after the value, from offset " + endOffset);
      }
      return value;
    }
  }

  private static <T> T read(Class<T> type, ValueReader<T> reader) {
    T value;
    try {
      value = reader.read();
    } catch (InvalidTypeIdException e) {
      throw unreadable(CodecException.Kind.UNKNOWN_TYPE, type, e);
    } catch (InvalidFormatException e) {
      boolean enumConstant = e.getTargetType() != null && e.getTargetType().isEnum();
      throw unreadable(
          enumConstant ? CodecException.Kind.UNKNOWN_TYPE : CodecException.Kind.MALFORMED, type, e);
    } catch (InvalidDefinitionException e) {
      throw unreadable(CodecException.Kind.UNSUPPORTED, type, e);
    } catch (IOException | RuntimeException e) {
      throw unreadable(CodecException.Kind.MALFORMED, type, e);
    } catch (StackOverflowError e) {
      // A frame of a few kilobytes can nest a recursive record deeper than the stack allows. The
      // parser's state is local to this call, so catching the error leaves no inconsistent state.
      throw new CodecException(
          CodecException.Kind.MALFORMED, type.getSimpleName() + " is nested too deeply", e);
    }
    if (value == null) {
      throw new CodecException(
          CodecException.Kind.MALFORMED, type.getSimpleName() + " is null", null);
    }
    return value;
  }

  private static CodecException unreadable(
      CodecException.Kind kind, Class<?> type, Exception cause) {
    String message = cause instanceof JsonProcessingException e ? e.getOriginalMessage() : null;
    String detail = message == null ? cause.toString() : message;
    if (detail.length() > MAX_DETAIL_CHARACTERS) {
      detail = detail.substring(0, MAX_DETAIL_CHARACTERS) + "...";
    }
    return new CodecException(
        kind, "can't read " + SealedFamilies.typeName(type) + ": " + detail, cause);
  }

  private static CodecException unsupported(Object value, JsonProcessingException cause) {
    return new CodecException(
        CodecException.Kind.UNSUPPORTED,
        "can't write " + value.getClass().getName() + ": " + cause.getOriginalMessage(),
        cause);
  }

  private static ObjectMapper mapper(JsonFactory factory, boolean timeAsNumbers) {
    ObjectMapper mapper =
        JsonMapper.builder(factory)
            .annotationIntrospector(new SealedTypeIntrospector())
            .accessorNaming(new ComponentNaming())
            .addModule(new Jdk8Module())
            .addModule(new TimeModule(timeAsNumbers))
            .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .enable(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS)
            .serializationInclusion(JsonInclude.Include.NON_NULL)
            .build();
    mapper.setSerializerFactory(
        mapper.getSerializerFactory().withSerializerModifier(new RecordsOnly()));
    for (Class<?> collection : List.of(List.class, Set.class, Map.class)) {
      mapper
          .configOverride(collection)
          .setSetterInfo(JsonSetter.Value.forValueNulls(Nulls.AS_EMPTY));
    }
    return mapper;
  }

  private interface ValueReader<T> {
    T read() throws IOException;
  }
}
