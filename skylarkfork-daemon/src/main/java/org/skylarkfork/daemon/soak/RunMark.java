package org.skylarkfork.daemon.soak;

import java.util.List;
import java.util.regex.Pattern;

/**
 * The mark in an answer that tells which run of its request it belongs to.
 *
 * @param run number of the run
 * @param again whether the answer is the second one to that run
 */
record RunMark(int run, boolean again) {

  private static final Pattern MARK = Pattern.compile(" \\[run (\\d+)( again)?\\]");

  /** Returns the mark as the end of a line of an answer. */
  String text() {
    return " [run " + run + (again ? " again]" : "]");
  }

  /** Returns the different marks of a body in their order. */
  static List<RunMark> in(String body) {
    return MARK.matcher(body)
        .results()
        .map(found -> new RunMark(Integer.parseInt(found.group(1)), found.group(2) != null))
        .distinct()
        .toList();
  }

  /** Returns a body without its marks. */
  static String removed(String body) {
    return MARK.matcher(body).replaceAll("");
  }
}
