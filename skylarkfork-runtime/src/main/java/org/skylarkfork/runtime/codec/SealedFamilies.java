package org.skylarkfork.runtime.codec;

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

  /** Returns the simple names of the class and of those around it, joined by dots. */
  static String typeName(Class<?> type) {
    Class<?> outer = type.getEnclosingClass();
    return outer == null ? type.getSimpleName() : typeName(outer) + "." + type.getSimpleName();
  }
}
