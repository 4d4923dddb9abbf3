package org.skylarkfork.runtime.codec;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.DatabindContext;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.jsontype.impl.TypeIdResolverBase;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/**
 * Resolves a member of a sealed family by its type name without loading the other members.
 *
 * <p>A family of messages has over a hundred members. Enumerating them loads and inspects each of
 * them at the first message, which takes 0.2 s of CPU time at each start of a daemon.
 */
final class SealedTypeIds extends TypeIdResolverBase {

  private static final Map<String, Class<?>> RESOLVED = new ConcurrentHashMap<>();

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

  /** Returns the family's type with the given name, or null if there is none. */
  @Override
  public @Nullable JavaType typeFromId(DatabindContext context, String id) {
    Class<?> family = _baseType.getRawClass();
    Class<?> member = RESOLVED.get(family.getName() + " " + id);
    if (member == null) {
      member = resolve(family, id);
    }
    return member == null ? null : context.constructSpecializedType(_baseType, member);
  }

  private static @Nullable Class<?> resolve(Class<?> family, String id) {
    // All members of a sealed family are in its package, since the program has no named modules.
    // The name is untrusted input and is validated before a class is loaded by it.
    if (!id.matches("[A-Za-z0-9]+(\\.[A-Za-z0-9]+)*")) {
      return null;
    }
    String name = family.getPackageName() + "." + id.replace('.', '$');
    Class<?> member = load(name, family.getClassLoader());
    if (member == null || member.isInterface() || !family.isAssignableFrom(member)) {
      return null;
    }
    RESOLVED.put(family.getName() + " " + id, member);
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
