package org.skylarkfork.runtime.codec;

/** Determines whether a class belongs to a sealed family, and its type name on the wire. */
final class SealedFamilies {

  private SealedFamilies() {}

  /**
   * Returns whether values of the class are written with a type name: the class is sealed or
   * implements a sealed interface, directly or through other interfaces. Types in {@code java.*}
   * packages don't count.
   */
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

  /** Returns the simple names of the enclosing classes and of the class, joined by dots. */
  static String typeName(Class<?> type) {
    Class<?> outer = type.getEnclosingClass();
    return outer == null ? type.getSimpleName() : typeName(outer) + "." + type.getSimpleName();
  }
}
