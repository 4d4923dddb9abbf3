package org.skylarkfork.runtime.codec;

import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/** Generates sample values of any record or sealed family from a seeded random source. */
public final class Samples {

  private static final int MAX_DEPTH = 6;
  private static final int MAX_ATTEMPTS = 200;

  private final UniformRandomProvider random;

  /** Creates a generator that draws from the given random source. */
  public Samples(UniformRandomProvider random) {
    this.random = random;
  }

  /** Returns the concrete classes of a sealed family, or the class itself if it isn't sealed. */
  public static List<Class<?>> leaves(Class<?> type) {
    List<Class<?>> leaves = new ArrayList<>();
    if (!type.isSealed()) {
      leaves.add(type);
      return leaves;
    }
    for (Class<?> permitted : type.getPermittedSubclasses()) {
      leaves.addAll(leaves(permitted));
    }
    return leaves;
  }

  /** Returns a value of the class; a record that rejects its components is generated again. */
  public Object sample(Class<?> type) {
    return value(type, 0);
  }

  private Object value(Type type, int depth) {
    if (type instanceof ParameterizedType generic) {
      return container((Class<?>) generic.getRawType(), generic.getActualTypeArguments(), depth);
    }
    Class<?> raw = (Class<?>) type;
    if (raw.isRecord()) {
      return record(raw, depth);
    }
    if (raw.isEnum()) {
      return raw.getEnumConstants()[random.nextInt(raw.getEnumConstants().length)];
    }
    if (raw.isSealed()) {
      return leaf(raw, depth);
    }
    return scalar(raw);
  }

  private Object leaf(Class<?> family, int depth) {
    List<Class<?>> leaves = leaves(family);
    if (depth > MAX_DEPTH) {
      leaves.sort((a, b) -> Integer.compare(componentCount(a), componentCount(b)));
      return value(leaves.get(0), depth + 1);
    }
    return value(leaves.get(random.nextInt(leaves.size())), depth + 1);
  }

  private static int componentCount(Class<?> type) {
    return type.isRecord() ? type.getRecordComponents().length : 0;
  }

  private Object container(Class<?> raw, Type[] arguments, int depth) {
    int size = depth > MAX_DEPTH ? 0 : random.nextInt(3);
    if (raw == Optional.class) {
      return size == 0 ? Optional.empty() : Optional.of(value(arguments[0], depth + 1));
    }
    if (raw == Map.class || raw == java.util.SortedMap.class) {
      Map<Object, Object> map = raw == Map.class ? new HashMap<>() : new java.util.TreeMap<>();
      for (int i = 0; i < size; i++) {
        map.put(value(arguments[0], depth + 1), value(arguments[1], depth + 1));
      }
      return map;
    }
    List<Object> values = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      values.add(value(arguments[0], depth + 1));
    }
    if (Set.class == raw) {
      return new HashSet<>(values);
    }
    return raw == java.util.SortedSet.class ? new java.util.TreeSet<>(values) : values;
  }

  private Object record(Class<?> type, int depth) {
    RuntimeException rejection = new IllegalStateException("no attempt");
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      try {
        return construct(type, depth);
      } catch (IllegalArgumentException e) {
        rejection = e;
      }
    }
    throw new IllegalStateException("no valid sample found for " + type.getName(), rejection);
  }

  private Object construct(Class<?> type, int depth) {
    RecordComponent[] components = type.getRecordComponents();
    Class<?>[] types = new Class<?>[components.length];
    Object[] values = new Object[components.length];
    for (int i = 0; i < components.length; i++) {
      types[i] = components[i].getType();
      values[i] = value(components[i].getGenericType(), depth + 1);
    }
    try {
      Constructor<?> constructor = type.getDeclaredConstructor(types);
      constructor.setAccessible(true);
      return constructor.newInstance(values);
    } catch (InvocationTargetException e) {
      throw new IllegalArgumentException(e.getCause());
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(e);
    }
  }

  private Object scalar(Class<?> raw) {
    if (raw == String.class) {
      return "s" + random.nextInt(1000) + (random.nextInt(8) == 0 ? "é\u0001\"" : "");
    }
    if (raw == int.class || raw == Integer.class) {
      return random.nextInt(random.nextBoolean() ? 100 : 100_000);
    }
    if (raw == long.class || raw == Long.class) {
      return random.nextLong(random.nextBoolean() ? 100 : Long.MAX_VALUE);
    }
    if (raw == double.class || raw == Double.class) {
      return random.nextDouble();
    }
    if (raw == boolean.class || raw == Boolean.class) {
      return random.nextBoolean();
    }
    if (raw == Instant.class) {
      return Instant.ofEpochSecond(random.nextLong(4_000_000_000L), random.nextInt(1_000_000_000));
    }
    if (raw == Duration.class) {
      return Duration.ofNanos(random.nextLong(1L << 50));
    }
    if (raw == OptionalLong.class) {
      return random.nextBoolean() ? OptionalLong.empty() : OptionalLong.of(random.nextLong());
    }
    if (raw == OptionalInt.class) {
      return random.nextBoolean() ? OptionalInt.empty() : OptionalInt.of(random.nextInt());
    }
    if (raw == byte[].class) {
      byte[] bytes = new byte[random.nextInt(40)];
      random.nextBytes(bytes);
      return bytes;
    }
    throw new IllegalStateException(
        "add support to Samples and Codec for the type " + raw.getName());
  }
}
