package org.skylarkfork.runtime.codec;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.BeanDescription;
import com.fasterxml.jackson.databind.DeserializationConfig;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.KeyDeserializer;
import com.fasterxml.jackson.databind.Module;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationConfig;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.KeyDeserializers;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.Serializers;
import java.io.IOException;
import org.jspecify.annotations.Nullable;

/** Supports records as map keys, written as the record's JSON text. */
final class RecordKeyModule extends SimpleModule {

  private static final long serialVersionUID = 1L;

  private final transient ObjectMapper json;

  /** Creates the module; {@code json} serializes and deserializes the keys. */
  RecordKeyModule(ObjectMapper json) {
    super("record-keys");
    this.json = json;
  }

  @Override
  public void setupModule(Module.SetupContext context) {
    super.setupModule(context);
    context.addKeySerializers(
        new Serializers.Base() {
          @Override
          public @Nullable JsonSerializer<?> findSerializer(
              SerializationConfig config, JavaType type, BeanDescription description) {
            return type.getRawClass().isRecord() ? new RecordKeySerializer() : null;
          }
        });
    context.addKeyDeserializers(
        new KeyDeserializers() {
          @Override
          public @Nullable KeyDeserializer findKeyDeserializer(
              JavaType type, DeserializationConfig config, BeanDescription description) {
            return type.getRawClass().isRecord() ? new RecordKeyDeserializer(type) : null;
          }
        });
  }

  private final class RecordKeySerializer extends JsonSerializer<Object> {
    @Override
    public void serialize(Object value, JsonGenerator out, SerializerProvider provider)
        throws IOException {
      out.writeFieldName(json.writeValueAsString(value));
    }
  }

  private final class RecordKeyDeserializer extends KeyDeserializer {
    private final JavaType type;

    RecordKeyDeserializer(JavaType type) {
      this.type = type;
    }

    @Override
    public Object deserializeKey(String key, DeserializationContext context) throws IOException {
      return json.readValue(key, type);
    }
  }
}
