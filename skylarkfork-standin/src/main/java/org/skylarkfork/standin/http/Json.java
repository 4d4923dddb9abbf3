package org.skylarkfork.standin.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** Writes and reads the JSON of the stand-ins. */
public final class Json {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private Json() {}

  /**
   * Writes a value as JSON text.
   *
   * @param value a record or another type that Jackson can write
   * @return the text, on one line
   * @throws IllegalArgumentException if the value has no JSON form
   */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("Make the value writable as JSON.", e);
    }
  }

  /**
   * Reads a value from JSON text, ignoring unknown properties.
   *
   * @param text the JSON text
   * @param type the type to read
   * @return the value
   * @throws IllegalArgumentException if the text is not JSON of that type
   */
  public static <T> T read(String text, Class<T> type) {
    try {
      T value = MAPPER.readValue(text, type);
      if (value == null) {
        throw new IllegalArgumentException("Send a JSON object instead of null.");
      }
      return value;
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          "Send a JSON object of the documented form: " + e.getOriginalMessage(), e);
    }
  }
}
