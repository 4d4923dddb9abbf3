package org.skylarkfork.runtime.codec;

import com.fasterxml.jackson.databind.cfg.MapperConfig;
import com.fasterxml.jackson.databind.introspect.AccessorNamingStrategy;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.AnnotatedMethod;
import com.fasterxml.jackson.databind.introspect.DefaultAccessorNamingStrategy;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/** Serializes only the components of a record as its fields, never its derived methods. */
final class ComponentNaming extends DefaultAccessorNamingStrategy.Provider {

  private static final long serialVersionUID = 1L;

  @Override
  public AccessorNamingStrategy forRecord(MapperConfig<?> config, AnnotatedClass type) {
    return new ComponentsOnly(config, type);
  }

  private static final class ComponentsOnly extends DefaultAccessorNamingStrategy.RecordNaming {

    private final Set<String> components;

    ComponentsOnly(MapperConfig<?> config, AnnotatedClass type) {
      super(config, type);
      components =
          Arrays.stream(type.getRawType().getRecordComponents())
              .map(RecordComponent::getName)
              .collect(Collectors.toUnmodifiableSet());
    }

    @Override
    public @Nullable String findNameForIsGetter(AnnotatedMethod method, String name) {
      return null;
    }

    @Override
    public @Nullable String findNameForRegularGetter(AnnotatedMethod method, String name) {
      return components.contains(name) ? name : null;
    }
  }
}
