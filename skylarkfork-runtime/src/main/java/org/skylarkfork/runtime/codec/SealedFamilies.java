package org.skylarkfork.runtime.codec;

import com.fasterxml.jackson.databind.jsontype.NamedType;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Finds the members of a sealed family and their names on the wire. */
final class SealedFamilies {

  private SealedFamilies() {}

  /** Returns whether values of the class carry a type name. */
  static boolean belongsToFamily(Class<?> type) {
    if (type.getPackageName().startsWith("java.")) {
      return false;
    }
    if (type.isSealed()) {
      return true;
    }
    for (Class<?> parent : type.getInterfaces()) {
      if (belongsToFamily(parent)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns each concrete class of a family with its name.
   *
   * @throws CodecException if two classes have one name, since a reader couldn't tell them apart
   */
  static List<NamedType> members(Class<?> family) {
    Map<String, Class<?>> byName = new HashMap<>();
    List<NamedType> members = new ArrayList<>();
    for (Class<?> leaf : leaves(family)) {
      Class<?> earlier = byName.putIfAbsent(typeName(leaf), leaf);
      if (earlier != null && earlier != leaf) {
        throw new CodecException(
            CodecException.Kind.UNSUPPORTED,
            leaf.getName() + " and " + earlier.getName() + " have one type name; rename one",
            null);
      }
      if (earlier == null) {
        members.add(new NamedType(leaf, typeName(leaf)));
      }
    }
    return members;
  }

  /** Returns the simple names of the class and of those around it, joined by dots. */
  static String typeName(Class<?> type) {
    Class<?> outer = type.getEnclosingClass();
    return outer == null ? type.getSimpleName() : typeName(outer) + "." + type.getSimpleName();
  }

  private static List<Class<?>> leaves(Class<?> type) {
    if (!type.isSealed()) {
      return List.of(type);
    }
    List<Class<?>> leaves = new ArrayList<>();
    for (Class<?> permitted : type.getPermittedSubclasses()) {
      leaves.addAll(leaves(permitted));
    }
    return leaves;
  }
}
