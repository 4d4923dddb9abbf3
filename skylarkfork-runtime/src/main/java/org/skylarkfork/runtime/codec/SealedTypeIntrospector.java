package org.skylarkfork.runtime.codec;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.cfg.MapperConfig;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.databind.jsontype.TypeResolverBuilder;
import com.fasterxml.jackson.databind.jsontype.impl.StdTypeResolverBuilder;
import org.jspecify.annotations.Nullable;

/** Derives type information from sealed interfaces, so that the core needs no annotations. */
final class SealedTypeIntrospector extends JacksonAnnotationIntrospector {

  /** Field that holds the type name; no record component can have this name. */
  static final String TYPE_FIELD = "@type";

  private static final long serialVersionUID = 1L;

  @Override
  public JsonTypeInfo.@Nullable Value findPolymorphicTypeInfo(
      MapperConfig<?> config, Annotated annotated) {
    if (annotated instanceof AnnotatedClass type
        && SealedFamilies.belongsToFamily(type.getRawType())) {
      return JsonTypeInfo.Value.construct(
          JsonTypeInfo.Id.NAME, JsonTypeInfo.As.PROPERTY, TYPE_FIELD, null, false, null);
    }
    return null;
  }

  @Override
  public @Nullable TypeResolverBuilder<?> findTypeResolver(
      MapperConfig<?> config, AnnotatedClass annotated, JavaType baseType) {
    JsonTypeInfo.Value info = findPolymorphicTypeInfo(config, annotated);
    return info == null
        ? null
        : new StdTypeResolverBuilder().init(info, new SealedTypeIds(baseType));
  }

  @Override
  public @Nullable String findTypeName(AnnotatedClass type) {
    return SealedFamilies.belongsToFamily(type.getRawType())
        ? SealedFamilies.typeName(type.getRawType())
        : null;
  }
}
