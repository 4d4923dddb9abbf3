package org.skylarkfork.runtime.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Supplier;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.loop.JournalFile;
import org.skylarkfork.runtime.loop.JournalLine;
import org.skylarkfork.runtime.loop.JournalStart;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Replays golden files of whole sessions and compares each line's effects.
 *
 * <p>A wanted change of decisions is taken in by {@code mvn -pl skylarkfork-runtime -am test
 * -Dtest=GoldenSessionsTest -Dsurefire.failIfNoSpecifiedTests=false -Dgolden.write=true} and read
 * in the difference of the files.
 */
public class GoldenSessionsTest {

  private static final Path FOLDER = Path.of("src", "test", "resources", "golden");
  private static final int MOST_LINES = 99;

  private final Codec codec = new Codec();

  @DataProvider
  Object[][] sessions() {
    return new Object[][] {
      {"race-start", (Supplier<GoldenDaemon>) GoldenSessions::raceStart},
      {"certificates", (Supplier<GoldenDaemon>) GoldenSessions::certificates},
      {"roll-out", (Supplier<GoldenDaemon>) GoldenSessions::rollOut}
    };
  }

  @Test(dataProvider = "sessions")
  public void sessionGoesAsRecorded(String name, Supplier<GoldenDaemon> session)
      throws IOException {
    List<String> lines = session.get().lines;
    assertTrue(lines.size() <= MOST_LINES, name + " has " + lines.size() + " lines");
    Path file = FOLDER.resolve(name + ".jsonl");
    if (Boolean.getBoolean("golden.write")) {
      Files.createDirectories(FOLDER);
      Files.write(file, lines);
    }
    assertSame(lines, Files.readAllLines(file));
  }

  @Test(dataProvider = "sessions", dependsOnMethods = "sessionGoesAsRecorded")
  public void fileReplaysLineByLine(String name, Supplier<GoldenDaemon> session)
      throws IOException {
    List<String> lines = Files.readAllLines(FOLDER.resolve(name + ".jsonl"));
    GoldenDaemon fresh = new GoldenDaemon(codec.fromJson(lines.get(0), JournalStart.class));
    for (int i = 1; i < lines.size(); i++) {
      JournalLine line = codec.fromJson(lines.get(i), JournalLine.class);
      assertEquals(fresh.replay(line), lines.get(i), name + ", line " + (i + 1));
    }
  }

  @Test(dataProvider = "sessions", dependsOnMethods = "sessionGoesAsRecorded")
  public void journalFileWritesTheSameLines(String name, Supplier<GoldenDaemon> session)
      throws IOException {
    List<String> lines = Files.readAllLines(FOLDER.resolve(name + ".jsonl"));
    Path copy = Files.createTempFile("journal", ".jsonl");
    try (JournalFile journal = new JournalFile(copy, codec)) {
      journal.begin(codec.fromJson(lines.get(0), JournalStart.class));
      for (String text : lines.subList(1, lines.size())) {
        JournalLine line = codec.fromJson(text, JournalLine.class);
        journal.applied(line.now(), line.event(), line.effects());
      }
    }
    assertSame(Files.readAllLines(copy), lines);
    Files.delete(copy);
  }

  private static void assertSame(List<String> actual, List<String> expected) {
    for (int i = 0; i < Math.min(actual.size(), expected.size()); i++) {
      assertEquals(actual.get(i), expected.get(i), "line " + (i + 1));
    }
    assertEquals(actual.size(), expected.size());
  }
}
