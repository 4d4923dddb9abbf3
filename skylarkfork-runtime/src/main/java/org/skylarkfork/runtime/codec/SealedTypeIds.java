package org.skylarkfork.runtime.codec;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.DatabindContext;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.jsontype.impl.TypeIdResolverBase;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/**
 * Finds a member of a sealed family by its name, without a look at the others.
 *
 * <p>A family of messages has over a hundred members. Listing them all loaded and inspected each at
 * the first message, 0.2 s of a core at each start of a daemon.
 */
final class SealedTypeIds extends TypeIdResolverBase {

  private static final Map<String, Class<?>> FOUND = new ConcurrentHashMap<>();

  SealedTypeIds(JavaType family) {
    super(family, null);
  }

  @Override
  public String idFromValue(Object value) {
    return SealedFamilies.typeName(value.getClass());
  }

  @Override
  public String idFromValueAndType(Object value, Class<?> suggested) {
    return SealedFamilies.typeName(value == null ? suggested : value.getClass());
  }

  /** Returns the type of that name, or null if the family has none. */
  @Override
  public @Nullable JavaType typeFromId(DatabindContext context, String id) {
    Class<?> family = _baseType.getRawClass();
    Class<?> member = FOUND.get(family.getName() + " " + id);
    if (member == null) {
      member = find(family, id);
    }
    return member == null ? null : context.constructSpecializedType(_baseType, member);
  }

  private static @Nullable Class<?> find(Class<?> family, String id) {
    // Members of a sealed family lie in its package, since the program has no named modules. A
    // name from outside is checked before a class is loaded by it.
    if (!id.matches("[A-Za-z0-9]+(\\.[A-Za-z0-9]+)*")) {
      return null;
    }
    String name = family.getPackageName() + "." + id.replace('.', '$');
    Class<?> member = load(name, family.getClassLoader());
    if (member == null || member.isInterface() || !family.isAssignableFrom(member)) {
      return null;
    }
    FOUND.put(family.getName() + " " + id, member);
    return member;
  }

  private static @Nullable Class<?> load(String name, ClassLoader loader) {
    try {
      return Class.forName(name, false, loader);
    } catch (ClassNotFoundException | LinkageError unknown) {
      return null;
    }
  }

  @Override
  public JsonTypeInfo.Id getMechanism() {
    return JsonTypeInfo.Id.NAME;
  }
}
