package org.skylarkfork.runtime.codec;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.BeanDescription;
import com.fasterxml.jackson.databind.BeanProperty;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationConfig;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.ser.BeanSerializerModifier;
import com.fasterxml.jackson.databind.ser.ContextualSerializer;
import com.fasterxml.jackson.databind.type.CollectionType;
import com.fasterxml.jackson.databind.type.MapType;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Writes maps and sets in the order of their keys' JSON text.
 *
 * <p>The JDK's unmodifiable maps and sets change their order from one process to the next, so a
 * golden file would differ on each run.
 */
final class StableOrder extends BeanSerializerModifier {

  private static final long serialVersionUID = 1L;

  private final transient ObjectMapper json;

  /** Creates the modifier; {@code json} gives the text that decides the order. */
  StableOrder(ObjectMapper json) {
    this.json = json;
  }

  @Override
  @SuppressWarnings("unchecked")
  public JsonSerializer<?> modifyMapSerializer(
      SerializationConfig config,
      MapType type,
      BeanDescription description,
      JsonSerializer<?> serializer) {
    return new Sorting((JsonSerializer<Object>) serializer);
  }

  @Override
  @SuppressWarnings("unchecked")
  public JsonSerializer<?> modifyCollectionSerializer(
      SerializationConfig config,
      CollectionType type,
      BeanDescription description,
      JsonSerializer<?> serializer) {
    return new Sorting((JsonSerializer<Object>) serializer);
  }

  private Object sorted(Object value) throws IOException {
    if (value instanceof Map<?, ?> map && !(value instanceof SortedMap)) {
      Map<Object, Object> ordered = new LinkedHashMap<>();
      for (Object key : byText(map.keySet())) {
        ordered.put(key, map.get(key));
      }
      return ordered;
    }
    return value instanceof Set<?> set && !(value instanceof SortedSet) ? byText(set) : value;
  }

  private List<Object> byText(Collection<?> values) throws IOException {
    Map<String, Object> ordered = new TreeMap<>();
    for (Object value : values) {
      ordered.put(json.writeValueAsString(value), value);
    }
    return new ArrayList<>(ordered.values());
  }

  private final class Sorting extends JsonSerializer<Object> implements ContextualSerializer {

    private final JsonSerializer<Object> wrapped;

    Sorting(JsonSerializer<Object> wrapped) {
      this.wrapped = wrapped;
    }

    @Override
    @SuppressWarnings("unchecked")
    public JsonSerializer<?> createContextual(
        SerializerProvider provider, @Nullable BeanProperty property) throws JsonMappingException {
      return new Sorting(
          (JsonSerializer<Object>) provider.handleSecondaryContextualization(wrapped, property));
    }

    @Override
    public void serialize(Object value, JsonGenerator out, SerializerProvider provider)
        throws IOException {
      wrapped.serialize(sorted(value), out, provider);
    }

    @Override
    public boolean isEmpty(SerializerProvider provider, Object value) {
      return wrapped.isEmpty(provider, value);
    }
  }
}
