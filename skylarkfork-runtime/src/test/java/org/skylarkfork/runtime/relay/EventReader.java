package org.skylarkfork.runtime.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Reads a whole stream of server-sent events as its standard says, at once and simply. */
final class EventReader {

  /** An event: its fields in order, and its id if it has one of its own. */
  record ReadEvent(List<String> fields, @Nullable String id) {}

  private final List<ReadEvent> events = new ArrayList<>();
  private final List<String> openFields = new ArrayList<>();
  private final String unfinishedLine;
  private @Nullable String openId;

  EventReader(byte[] stream) {
    String text = new String(stream, StandardCharsets.UTF_8);
    String withoutMark = text.startsWith("\uFEFF") ? text.substring(1) : text;
    String[] lines = withoutMark.split("\r\n|\n|\r", -1);
    for (int index = 0; index < lines.length - 1; index++) {
      readLine(lines[index]);
    }
    unfinishedLine = lines[lines.length - 1];
  }

  private void readLine(String line) {
    if (line.isEmpty()) {
      endEvent();
    } else if (!line.startsWith(":")) {
      openFields.add(line);
      readId(line);
    }
  }

  private void readId(String line) {
    if ((line.equals("id") || line.startsWith("id:")) && !line.contains("\0")) {
      openId = line.replaceFirst("^id:? ?", "");
    }
  }

  private void endEvent() {
    if (!openFields.isEmpty()) {
      events.add(new ReadEvent(List.copyOf(openFields), openId));
    }
    openFields.clear();
    openId = null;
  }

  List<ReadEvent> events() {
    return events;
  }

  /** Returns whether the stream ends inside an event or a line. */
  boolean endsInside() {
    return !openFields.isEmpty() || !unfinishedLine.isEmpty();
  }
}
