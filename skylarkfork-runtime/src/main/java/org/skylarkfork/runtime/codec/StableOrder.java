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
 * Serializes maps and sets in the order of the JSON text of their keys or elements.
 *
 * <p>The iteration order of the JDK's unmodifiable maps and sets differs from process to process,
 * so a golden file would differ on each run.
 */
final class StableOrder extends BeanSerializerModifier {

  private static final long serialVersionUID = 1L;

  private final transient ObjectMapper json;

  /** Creates the modifier; {@code json} writes the text that defines the order. */
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
    return new SortingSerializer((JsonSerializer<Object>) serializer);
  }

  @Override
  @SuppressWarnings("unchecked")
  public JsonSerializer<?> modifyCollectionSerializer(
      SerializationConfig config,
      CollectionType type,
      BeanDescription description,
      JsonSerializer<?> serializer) {
    return new SortingSerializer((JsonSerializer<Object>) serializer);
  }

  private Object sorted(Object value) throws IOException {
    if (value instanceof Map<?, ?> map && !(value instanceof SortedMap)) {
      Map<Object, Object> ordered = new LinkedHashMap<>();
      for (Object key : sortedByJson(map.keySet())) {
        ordered.put(key, map.get(key));
      }
      return ordered;
    }
    return value instanceof Set<?> set && !(value instanceof SortedSet) ? sortedByJson(set) : value;
  }

  private List<Object> sortedByJson(Collection<?> values) throws IOException {
    Map<String, Object> ordered = new TreeMap<>();
    for (Object value : values) {
      ordered.put(json.writeValueAsString(value), value);
    }
    return new ArrayList<>(ordered.values());
  }

  private final class SortingSerializer extends JsonSerializer<Object>
      implements ContextualSerializer {

    private final JsonSerializer<Object> wrapped;

    SortingSerializer(JsonSerializer<Object> wrapped) {
      this.wrapped = wrapped;
    }

    @Override
    @SuppressWarnings("unchecked")
    public JsonSerializer<?> createContextual(
        SerializerProvider provider, @Nullable BeanProperty property) throws JsonMappingException {
      return new SortingSerializer(
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
