package org.skylarkfork.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/** Tests the command line of {@link TimelineCommand}. */
public class TimelineCommandTest {

  private static final String LINE =
      "{\"node\":\"%s\",\"sequence\":1,\"at\":\"2026-12-05T09:00:0%dZ\",\"what\":\"%s\","
          + "\"detail\":\"\"}";

  @Test
  public void writesEachForm() throws IOException {
    Path file = Files.createTempFile("timeline", ".jsonl");
    Files.write(
        file, List.of(LINE.formatted("b", 2, "x.y"), "half a li", LINE.formatted("a", 1, "x.z")));
    assertEquals(
        written(file, "text"), List.of("2026-12-05T09:00:01Z a x.z", "2026-12-05T09:00:02Z b x.y"));
    assertEquals(
        written(file, "json"),
        List.of(LINE.formatted("a", 1, "x.z"), LINE.formatted("b", 2, "x.y")));
    assertTrue(written(file, "html").contains("<!DOCTYPE html>"));
    assertEquals(written(file, "text", "--node", "b").size(), 1);
    Files.delete(file);
  }

  private static List<String> written(Path file, String format, String... more) throws IOException {
    Path out = Files.createTempFile("timeline", ".out");
    List<String> words =
        new java.util.ArrayList<>(List.of("timeline", "--format", format, "--out", out.toString()));
    words.addAll(List.of(more));
    words.add(file.toString());
    assertEquals(Skylarkfork.run(words.toArray(String[]::new)), ExitCode.SUCCESS);
    List<String> lines = Files.readAllLines(out);
    Files.delete(out);
    return lines;
  }

  @Test
  public void refusesWrongUse() {
    assertEquals(Skylarkfork.run("timeline"), ExitCode.USAGE);
    assertEquals(Skylarkfork.run("timeline", "--format", "xml", "x"), ExitCode.USAGE);
    assertEquals(Skylarkfork.run("timeline", "no-such-file.jsonl"), ExitCode.FAILURE);
  }
}
