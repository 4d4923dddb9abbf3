package org.skylarkfork.core.relay;

import java.lang.reflect.AnnotatedParameterizedType;
import java.lang.reflect.AnnotatedType;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/** Creates records whose components have random values that their types allow, odd ones often. */
final class RandomRecords {

  private static final long[] LONGS = {
    0, 1, 2, 3, -1, 7, 1000, Integer.MAX_VALUE, Integer.MIN_VALUE, Long.MAX_VALUE, Long.MIN_VALUE
  };
  private static final int[] INTS = {0, 1, 2, -1, 7, 1000, Integer.MAX_VALUE, Integer.MIN_VALUE};
  private static final double[] DOUBLES = {
    0, 1, -1, 0.5, 1e300, Double.NaN, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY
  };
  private static final int MAX_SIZE = 2;

  private final UniformRandomProvider random;
  private final List<String> texts;

  /**
   * Creates a source.
   *
   * @param random makes all choices
   * @param texts values of texts
   */
  RandomRecords(UniformRandomProvider random, List<String> texts) {
    this.random = random;
    this.texts = texts;
  }

  /** Returns an instance of one of the records that implement a sealed interface. */
  Object ofSealed(Class<?> type) {
    Class<?>[] permitted = type.getPermittedSubclasses();
    Class<?> chosen = permitted[random.nextInt(permitted.length)];
    return chosen.isRecord() ? ofRecord(chosen) : ofSealed(chosen);
  }

  private Object ofRecord(Class<?> type) {
    RecordComponent[] components = type.getRecordComponents();
    Class<?>[] types =
        Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
    Object[] values = new Object[components.length];
    for (int place = 0; place < components.length; place++) {
      values[place] = value(components[place].getAnnotatedType());
    }
    try {
      Constructor<?> constructor = type.getDeclaredConstructor(types);
      constructor.setAccessible(true);
      return constructor.newInstance(values);
    } catch (InvocationTargetException refused) {
      return ofRecord(type);
    } catch (ReflectiveOperationException impossible) {
      throw new AssertionError(type.getName(), impossible);
    }
  }

  private @Nullable Object value(AnnotatedType annotated) {
    boolean nullable = annotated.isAnnotationPresent(Nullable.class);
    if (nullable && random.nextInt(3) == 0) {
      return null;
    }
    Type type = annotated.getType();
    if (type instanceof ParameterizedType parameterized) {
      AnnotatedType[] arguments =
          ((AnnotatedParameterizedType) annotated).getAnnotatedActualTypeArguments();
      return container((Class<?>) parameterized.getRawType(), arguments);
    }
    return simple((Class<?>) type);
  }

  private Object container(Class<?> type, AnnotatedType[] arguments) {
    int size = random.nextInt(MAX_SIZE + 1);
    if (type == Map.class) {
      Map<Object, Object> map = new LinkedHashMap<>();
      for (int number = 0; number < size; number++) {
        map.put(
            Objects.requireNonNull(value(arguments[0])),
            Objects.requireNonNull(value(arguments[1])));
      }
      return map;
    }
    List<@Nullable Object> list = new ArrayList<>();
    for (int number = 0; number < size; number++) {
      list.add(value(arguments[0]));
    }
    return list;
  }

  private Object simple(Class<?> type) {
    if (type == long.class || type == Long.class) {
      return LONGS[random.nextInt(LONGS.length)];
    }
    if (type == int.class || type == Integer.class) {
      return INTS[random.nextInt(INTS.length)];
    }
    if (type == double.class || type == Double.class) {
      return DOUBLES[random.nextInt(DOUBLES.length)];
    }
    if (type == boolean.class || type == Boolean.class) {
      return random.nextBoolean();
    }
    if (type == String.class) {
      return texts.get(random.nextInt(texts.size()));
    }
    if (type == Instant.class) {
      return Instant.ofEpochMilli(LONGS[random.nextInt(LONGS.length)]);
    }
    if (type == Duration.class) {
      return Duration.ofMillis(LONGS[random.nextInt(LONGS.length)]);
    }
    if (type == byte[].class) {
      return new byte[random.nextInt(MAX_SIZE + 1)];
    }
    if (type.isEnum()) {
      return type.getEnumConstants()[random.nextInt(type.getEnumConstants().length)];
    }
    return type.isRecord() ? ofRecord(type) : ofSealed(type);
  }
}
