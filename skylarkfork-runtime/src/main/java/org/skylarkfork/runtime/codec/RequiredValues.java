package org.skylarkfork.runtime.codec;

import java.lang.reflect.RecordComponent;
import java.util.Collection;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Finds the values that a deserialized record lacks although its type requires them.
 *
 * <p>The library leaves a component null that the text doesn't have. The reducer relies on the
 * types and halts the daemon at such a null.
 */
final class RequiredValues {

  private RequiredValues() {}

  /**
   * Returns the name of a component that is null although its type isn't nullable, or null if
   * nothing lacks. Records, collections and maps are searched, other values are taken as whole.
   */
  static @Nullable String firstMissing(Object value) {
    if (value instanceof Record fields) {
      return firstMissingOf(fields);
    }
    if (value instanceof Collection<?> elements) {
      return firstMissingOf(elements);
    }
    return value instanceof Map<?, ?> entries ? firstMissingOf(entries.values()) : null;
  }

  private static @Nullable String firstMissingOf(Record fields) {
    for (RecordComponent component : fields.getClass().getRecordComponents()) {
      Object value = read(component, fields);
      if (value != null) {
        String missing = firstMissing(value);
        if (missing != null) {
          return missing;
        }
      } else if (!component.getAnnotatedType().isAnnotationPresent(Nullable.class)) {
        return component.getName();
      }
    }
    return null;
  }

  private static @Nullable String firstMissingOf(Collection<?> elements) {
    for (Object element : elements) {
      String missing = element == null ? "an element" : firstMissing(element);
      if (missing != null) {
        return missing;
      }
    }
    return null;
  }

  private static @Nullable Object read(RecordComponent component, Record fields) {
    try {
      component.getAccessor().setAccessible(true);
      return component.getAccessor().invoke(fields);
    } catch (ReflectiveOperationException unreadable) {
      throw new IllegalStateException(component + " can't be read", unreadable);
    }
  }
}
