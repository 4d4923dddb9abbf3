package org.skylarkfork.daemon;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** The log lines of one request from several processes, and the outcome that they show. */
final class RequestStory {

  private static final Pattern FACT = Pattern.compile("(?:^|\\s)([a-z_]+)=(\\S+)");

  private static final Pattern TIME = Pattern.compile("\\d{4}-\\d\\d-\\d\\d [0-9:.]+");

  private final String id;
  private final List<String> lines = new ArrayList<>();

  RequestStory(String id) {
    this.id = id;
  }

  /** Adds a line if it belongs to the request; lines begin with their time. */
  void add(String line) {
    if (id.equals(fact(line, "id")) && fact(line, "event") != null) {
      lines.add(line);
    }
  }

  /** Returns the request's lines, ordered by time. */
  List<String> lines() {
    lines.sort(Comparator.comparing(RequestStory::time));
    return lines;
  }

  /** Returns a line's time without its level, by which lines with equal times would be ordered. */
  private static String time(String line) {
    Matcher matcher = TIME.matcher(line);
    return matcher.find() ? matcher.group() : "";
  }

  /** Returns a sentence with the cause of the request's outcome. */
  String cause() {
    String end = null;
    String trouble = null;
    for (String line : lines()) {
      String event = String.valueOf(fact(line, "event"));
      switch (event) {
        case "not_run", "upstream_failed", "attempt_failed" -> trouble = line;
        case "done", "refused", "broken_off", "caller_left" -> end = line;
        default -> {
          continue;
        }
      }
    }
    if (end == null) {
      return lines.isEmpty()
          ? "No line names this request; it never reached these processes, or the lines were left"
              + " out."
          : "The request's end is not in these files; its process may have crashed.";
    }
    return sentence(end, trouble);
  }

  private static String sentence(String end, @Nullable String trouble) {
    String event = String.valueOf(fact(end, "event"));
    String millis = fact(end, "ms");
    String after = millis == null ? "a wait in the entry" : millis + " ms";
    return switch (event) {
      case "done" ->
          trouble == null
              ? "It was answered after " + after + "; attempts: " + fact(end, "attempts") + "."
              : "It was answered after " + after + " although " + told(trouble) + ".";
      case "caller_left" -> "The caller closed its connection after " + after + ".";
      case "broken_off" -> "Its stream was broken off after " + after + ": " + told(trouble) + ".";
      default -> refusal(end, trouble, after);
    };
  }

  private static String refusal(String end, @Nullable String trouble, String after) {
    String why = String.valueOf(fact(end, "why"));
    String reason =
        switch (why) {
          case "UNKNOWN_KEY" -> "no team held its key in the configuration named in the line";
          case "NO_ROUTE" -> "no route matched in the configuration named in the line";
          case "NOT_SERVING" ->
              "the entry had no proof that its configuration was the newest (see proof_age_ms)";
          case "STOPPING" -> "the entry was stopping and could not have ended it in time";
          case "NO_UPSTREAM" -> "no upstream took it: " + backedOff(end) + told(trouble);
          case "OVERLOADED" -> "what was ahead of it would have taken longer than its caller waits";
          case "QUARANTINED" -> "upstreams that ran " + quarantined(end) + " had ended";
          case "TOO_LATE" -> "its time was over before it could be sent";
          case "OUTCOME_UNKNOWN" -> "it may have run, but no whole answer came: " + told(trouble);
          case "TIME_OUT" -> "its time was over while an upstream worked on it";
          default -> why;
        };
    return "It was refused after " + after + ", since " + reason + ".";
  }

  private static String quarantined(String end) {
    String part = fact(end, "part");
    String key = fact(end, "quarantined");
    String what = part == null ? "the same content" : "requests with the part " + part;
    return what + " (skylarkfork quarantine lists " + (key == null ? "it" : key) + ")";
  }

  private static String backedOff(String end) {
    String count = fact(end, "backed_off");
    return count == null || count.equals("0")
        ? ""
        : "upstreams of its service that had asked the entry for a backoff: " + count + "; ";
  }

  private static String told(@Nullable String line) {
    if (line == null) {
      return "no attempt failed";
    }
    String how = fact(line, "how");
    String status = fact(line, "status");
    return "upstream "
        + fact(line, "upstream")
        + " ended attempt "
        + fact(line, "attempt")
        + " with "
        + (how == null ? "status " + status : how)
        + received(line);
  }

  /** Returns what was received of an answer that broke off, or nothing for other lines. */
  private static String received(String line) {
    String end = fact(line, "end");
    return end == null || end.equals("NO_ANSWER")
        ? ""
        : " ("
            + end
            + " after "
            + fact(line, "bytes")
            + " bytes, framing "
            + fact(line, "framing")
            + ", connection "
            + fact(line, "connection")
            + ")";
  }

  private static @Nullable String fact(String line, String name) {
    Matcher matcher = FACT.matcher(line);
    while (matcher.find()) {
      if (matcher.group(1).equals(name)) {
        return matcher.group(2);
      }
    }
    return null;
  }
}
