package org.skylarkfork.runtime.trace;

import org.jspecify.annotations.Nullable;

/** Writes a line of a time line as text for a terminal. */
public final class TimelineText {

  private TimelineText() {}

  /** Returns the line; control characters are replaced, since callers choose some of the texts. */
  public static String of(TimelineRecord line) {
    StringBuilder text = new StringBuilder();
    text.append(line.at()).append(' ').append(line.node()).append(' ').append(line.what());
    fact(text, "request", line.requestId());
    fact(text, "session", line.session());
    fact(text, "version", line.version());
    fact(text, "upstream", line.upstream());
    if (!line.detail().isEmpty()) {
      text.append(' ').append(line.detail());
    }
    return text.toString().replaceAll("\\p{Cntrl}", "?");
  }

  private static void fact(StringBuilder text, String name, @Nullable String value) {
    if (value != null) {
      text.append(' ').append(name).append('=').append(value);
    }
  }
}
