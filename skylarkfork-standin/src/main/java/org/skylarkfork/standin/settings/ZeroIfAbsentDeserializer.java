package org.skylarkfork.standin.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.BeanProperty;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.deser.ContextualDeserializer;
import com.fasterxml.jackson.databind.util.ClassUtil;
import java.io.IOException;

/** Reads a primitive value and takes zero or false for an absent one. */
final class ZeroIfAbsentDeserializer extends JsonDeserializer<Object>
    implements ContextualDeserializer {

  private final Class<?> primitive;

  /** Makes a deserializer that Jackson replaces by one for the type of the component. */
  ZeroIfAbsentDeserializer() {
    this(int.class);
  }

  private ZeroIfAbsentDeserializer(Class<?> primitive) {
    this.primitive = primitive;
  }

  @Override
  public JsonDeserializer<?> createContextual(
      DeserializationContext context, BeanProperty property) {
    return new ZeroIfAbsentDeserializer(property.getType().getRawClass());
  }

  @Override
  public Object deserialize(JsonParser parser, DeserializationContext context) throws IOException {
    return context.readValue(parser, ClassUtil.wrapperType(primitive));
  }

  @Override
  public Object getNullValue(DeserializationContext context) {
    return ClassUtil.defaultValue(primitive);
  }
}
