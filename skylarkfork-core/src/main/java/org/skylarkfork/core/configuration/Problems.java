package org.skylarkfork.core.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.skylarkfork.core.configuration.ConfigurationProblem.Kind;

/** Collects configuration problems and provides the checks shared by all kinds of objects. */
final class Problems {

  /**
   * Maximum number of problems reported at once; further ones are reported after these are fixed.
   */
  static final int MAX_PROBLEMS = 20;

  private static final int MAX_QUOTED_CHARACTERS = 80;
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._/@+-]{0,127}");
  private static final Pattern RULE_NAME =
      Pattern.compile("[\\p{L}\\p{N}][\\p{L}\\p{N} ._/@+:,-]{0,127}");
  private static final Pattern NODE_ID =
      Pattern.compile("[A-Za-z0-9\\[][A-Za-z0-9._/@+:\\[\\]-]{0,255}");
  private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");

  private final List<ConfigurationProblem> collected = new ArrayList<>();

  List<ConfigurationProblem> collected() {
    return collected;
  }

  void add(Kind kind, String subject, String message) {
    if (collected.size() < MAX_PROBLEMS) {
      collected.add(new ConfigurationProblem(kind, subject, message));
    }
  }

  void require(boolean valid, Kind kind, String subject, String message) {
    if (!valid) {
      add(kind, subject, message);
    }
  }

  /** Checks the name of a team, model, version, service, zone or key. */
  void name(String name, String subject) {
    require(
        NAME.matcher(name).matches(),
        Kind.MALFORMED,
        subject,
        quote(name) + " is no name; use 1 to 128 letters, digits and . _ / @ + -");
  }

  /** Checks the name of a rule, which may contain spaces and letters of any language. */
  void ruleName(String name, String subject) {
    require(
        RULE_NAME.matcher(name).matches(),
        Kind.MALFORMED,
        subject,
        quote(name) + " is no rule name; use 1 to 128 letters, digits, spaces and . _ / @ + : , -");
  }

  /** Checks the id of an upstream or VM. */
  void nodeId(String id, String subject) {
    require(
        NODE_ID.matcher(id).matches(),
        Kind.MALFORMED,
        subject,
        quote(id) + " is no id; use up to 256 letters, digits and . _ / @ + : [ ] -");
  }

  void hash(String sha256, String subject) {
    require(
        HASH.matcher(sha256).matches(),
        Kind.MALFORMED,
        subject,
        "the key's hash must be SHA-256 in 64 lower-case hex digits; hash the key before sending");
  }

  void text(String text, int max, String subject) {
    require(
        text.length() <= max,
        Kind.TOO_LARGE,
        subject,
        "the text has " + text.length() + " characters; shorten it to " + max);
  }

  /** Checks the size of a list; returns whether it is within the limit. */
  boolean size(List<?> list, int max, String subject) {
    boolean fits = list.size() <= max;
    require(fits, Kind.TOO_LARGE, subject, "there are " + list.size() + "; keep at most " + max);
    return fits;
  }

  void fraction(double value, String subject) {
    require(
        value >= 0 && value <= 1,
        Kind.OUT_OF_RANGE,
        subject,
        value + " is out of range; use a value from 0 to 1");
  }

  void range(long value, long min, long max, String subject) {
    require(
        value >= min && value <= max,
        Kind.OUT_OF_RANGE,
        subject,
        value + " is out of range; use a value from " + min + " to " + max);
  }

  /** Returns the keys of a list and reports duplicates. */
  <T> Set<String> unique(List<T> list, Function<T, String> key, String typeName) {
    Set<String> seen = new HashSet<>(list.size() * 2);
    for (T item : list) {
      String name = key.apply(item);
      if (!seen.add(name)) {
        add(
            Kind.DUPLICATE,
            typeName + " " + name,
            "the " + typeName + " comes twice; rename or remove one");
      }
    }
    return seen;
  }

  void reference(Set<String> names, String name, String typeName, String subject) {
    if (!names.contains(name)) {
      add(
          Kind.UNKNOWN_REFERENCE,
          subject,
          "there is no "
              + typeName
              + " "
              + quote(name)
              + "; add it first, or take it out of "
              + subject);
    }
  }

  static String quote(String text) {
    return "'"
        + (text.length() <= MAX_QUOTED_CHARACTERS
            ? text
            : text.substring(0, MAX_QUOTED_CHARACTERS) + "…")
        + "'";
  }
}
