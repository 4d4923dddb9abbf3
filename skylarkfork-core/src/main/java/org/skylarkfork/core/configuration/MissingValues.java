package org.skylarkfork.core.configuration;

import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Finds record components that are null though they may not be.
 *
 * <p>A change is read from an operator's JSON, where any field may be left out. A null that got
 * into the log would fail each replica at the same index, again after every restart; so it is found
 * before anything looks into the change.
 */
final class MissingValues {

  private static final int MAX_REPORTED = 20;

  private static final ClassValue<List<Component>> COMPONENTS =
      new ClassValue<>() {
        @Override
        protected List<Component> computeValue(Class<?> type) {
          return components(type);
        }
      };

  private final List<String> missing = new ArrayList<>();

  private MissingValues() {}

  /** Returns what is missing in a change, as problems. */
  static List<ConfigurationProblem> problems(ConfigurationChange change) {
    List<ConfigurationProblem> problems = new ArrayList<>();
    for (String path : find((Record) change, "change")) {
      problems.add(
          new ConfigurationProblem(
              ConfigurationProblem.Kind.MALFORMED, path, path + " is missing; give it a value"));
    }
    return problems;
  }

  /** Returns paths such as {@code change.team.limits}, at most 20. */
  private static List<String> find(Record value, String name) {
    MissingValues search = new MissingValues();
    search.collect(value, name);
    return search.missing;
  }

  private void collect(@Nullable Object value, String path) {
    if (missing.size() >= MAX_REPORTED) {
      return;
    }
    if (value instanceof List<?> list) {
      for (int index = 0; index < list.size(); index++) {
        collect(list.get(index), path + "[" + index + "]");
      }
    } else if (value instanceof Record record) {
      for (Component component : COMPONENTS.get(record.getClass())) {
        Object child = component.read(record);
        if (child != null) {
          collect(child, path + "." + component.name);
        } else if (!component.nullable) {
          missing.add(path + "." + component.name);
        }
      }
    }
  }

  private static List<Component> components(Class<?> type) {
    List<Component> components = new ArrayList<>();
    for (RecordComponent component : type.getRecordComponents()) {
      if (!component.getType().isPrimitive()) {
        component.getAccessor().setAccessible(true);
        components.add(
            new Component(
                component,
                component.getName(),
                component.getAnnotatedType().isAnnotationPresent(Nullable.class)));
      }
    }
    return components;
  }

  private record Component(RecordComponent component, String name, boolean nullable) {

    @Nullable Object read(Record record) {
      try {
        return component.getAccessor().invoke(record);
      } catch (ReflectiveOperationException e) {
        throw new IllegalStateException("can't read " + name, e);
      }
    }
  }
}
