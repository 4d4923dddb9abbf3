package org.skylarkfork.runtime.trace;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.codec.CodecException;

/** Reads the time line files of several processes and merges them. */
public final class TimelineReader {

  private static final int MOST_BAD_LINES_NAMED = 5;
  private static final Comparator<TimelineRecord> ORDER =
      Comparator.comparing(TimelineRecord::at)
          .thenComparing(TimelineRecord::node)
          .thenComparingLong(TimelineRecord::sequence);

  private final Codec codec;
  private final TimelineFilter filter;
  private final List<TimelineRecord> wanted = new ArrayList<>();
  private final List<String> firstBadLines = new ArrayList<>();
  private long badLines;

  /**
   * Makes a reader for one merge.
   *
   * @param codec reads the lines
   * @param filter says which lines are wanted
   */
  public TimelineReader(Codec codec, TimelineFilter filter) {
    this.codec = codec;
    this.filter = filter;
  }

  /**
   * Reads files and merges them. A line that can't be read is counted and left out, since a process
   * that was killed leaves half a line behind.
   *
   * @param paths files, or folders with files whose names hold {@code .jsonl}
   * @throws IOException if a file can't be read
   */
  public Timeline read(List<Path> paths) throws IOException {
    for (Path path : paths) {
      for (Path file : files(path)) {
        readFile(file);
      }
    }
    wanted.sort(ORDER);
    return new Timeline(wanted, badLines, firstBadLines);
  }

  private static List<Path> files(Path path) throws IOException {
    if (!Files.isDirectory(path)) {
      return List.of(path);
    }
    try (Stream<Path> inside = Files.list(path)) {
      return inside
          .filter(file -> file.getFileName().toString().contains(".jsonl"))
          .sorted()
          .toList();
    }
  }

  private void readFile(Path file) throws IOException {
    try (BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(Files.newInputStream(file), StandardCharsets.UTF_8))) {
      long number = 0;
      for (String text = reader.readLine(); text != null; text = reader.readLine()) {
        number++;
        take(file, number, text);
      }
    }
  }

  private void take(Path file, long number, String text) {
    TimelineRecord line = parsed(text);
    if (line == null) {
      badLines++;
      if (firstBadLines.size() < MOST_BAD_LINES_NAMED) {
        firstBadLines.add(file + ":" + number);
      }
    } else if (filter.wants(line)) {
      wanted.add(line);
    }
  }

  private @Nullable TimelineRecord parsed(String text) {
    try {
      TimelineRecord line = codec.fromJson(text, TimelineRecord.class);
      boolean whole =
          Stream.of(line.node(), line.at(), line.what(), line.detail()).allMatch(Objects::nonNull);
      return whole ? line : null;
    } catch (CodecException malformed) {
      return null;
    }
  }
}
