package org.skylarkfork.runtime.codec;

import com.fasterxml.jackson.databind.BeanDescription;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.SerializationConfig;
import com.fasterxml.jackson.databind.ser.BeanSerializerModifier;
import com.fasterxml.jackson.databind.ser.std.BeanSerializerBase;

/** Rejects classes that could be serialized as beans but not deserialized. */
final class RecordsOnly extends BeanSerializerModifier {

  private static final long serialVersionUID = 1L;

  @Override
  public JsonSerializer<?> modifySerializer(
      SerializationConfig config, BeanDescription description, JsonSerializer<?> serializer) {
    if (serializer instanceof BeanSerializerBase && !description.getBeanClass().isRecord()) {
      throw new CodecException(
          CodecException.Kind.UNSUPPORTED,
          description.getBeanClass().getName() + " isn't a record",
          null);
    }
    return serializer;
  }
}
