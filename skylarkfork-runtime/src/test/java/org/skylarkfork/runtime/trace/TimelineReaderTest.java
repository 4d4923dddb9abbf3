package org.skylarkfork.runtime.trace;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.runtime.codec.Codec;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the merge of time lines and its forms. */
public class TimelineReaderTest {

  private static final Instant START = Instant.parse("2026-12-05T09:00:00Z");

  private final Codec codec = new Codec();
  private Path folder;

  /** Writes the files of two daemons; one of them was killed within a line. */
  @BeforeMethod
  public void write() throws IOException {
    folder = Files.createTempDirectory("timeline");
    Files.writeString(
        folder.resolve("a.jsonl"),
        line("a", 2, 10, "request.answered", "r1", "x")
            + line("a", 1, 10, "request.dispatched", "r1", "x")
            + "{\"node\":\"a\",\"sequ");
    Files.writeString(
        folder.resolve("b.jsonl"),
        line("b", 7, 5, "member.suspected", null, null)
            + "not a line\n{}\n"
            + line("b", 8, 10, "requested", "r2", "<script>alert(1)</script>"));
  }

  /** Deletes the files. */
  @AfterMethod
  public void delete() throws IOException {
    Files.delete(folder.resolve("a.jsonl"));
    Files.delete(folder.resolve("b.jsonl"));
    Files.delete(folder);
  }

  private String line(
      String node,
      long sequence,
      long millis,
      String what,
      @Nullable String request,
      @Nullable String session) {
    return codec.toJson(
            new TimelineRecord(
                node,
                sequence,
                START.plusMillis(millis),
                what,
                request,
                session,
                null,
                null,
                "at\u001b[2J"))
        + "\n";
  }

  private Timeline read(TimelineFilter filter) throws IOException {
    return new TimelineReader(codec, filter).read(List.of(folder));
  }

  @Test
  public void mergesByTimeThenNodeThenSequence() throws IOException {
    Timeline merged = read(TimelineFilter.ALL);
    assertEquals(
        merged.lines().stream().map(line -> line.node() + line.sequence()).toList(),
        List.of("b7", "a1", "a2", "b8"));
  }

  @Test
  public void countsBadLinesAndNamesThem() throws IOException {
    Timeline merged = read(TimelineFilter.ALL);
    assertEquals(merged.badLines(), 3);
    assertEquals(
        merged.firstBadLines(),
        List.of(folder + "/a.jsonl:3", folder + "/b.jsonl:2", folder + "/b.jsonl:3"));
  }

  @Test
  public void filters() throws IOException {
    assertEquals(count(new TimelineFilter("r1", null, null, null, null, null)), 2);
    assertEquals(count(new TimelineFilter(null, "x", null, null, null, null)), 2);
    assertEquals(count(new TimelineFilter(null, null, "m:1", null, null, null)), 0);
    assertEquals(count(new TimelineFilter(null, null, null, "e1", null, null)), 0);
    assertEquals(count(new TimelineFilter(null, null, null, null, "b", null)), 2);
    assertEquals(count(new TimelineFilter(null, null, null, null, null, "request")), 2);
    assertEquals(count(new TimelineFilter(null, null, null, null, null, "requested")), 1);
  }

  private int count(TimelineFilter filter) throws IOException {
    return read(filter).lines().size();
  }

  @Test
  public void pageHasLanesOfNodesAndRunsNoText() throws IOException {
    String page = TimelinePage.of(read(TimelineFilter.ALL));
    assertTrue(page.contains("<th>a</th><th>b</th>"), page);
    assertFalse(page.contains("<script>alert"), page);
    assertTrue(page.contains("&lt;script&gt;alert(1)"), page);
    assertFalse(page.contains("http"), page);
    assertFalse(page.contains("src="), page);
  }

  @Test
  public void textHasNoControlCharacters() throws IOException {
    String text = TimelineText.of(read(TimelineFilter.ALL).lines().get(1));
    assertEquals(text, "2026-12-05T09:00:00.010Z a request.dispatched request=r1 session=x at?[2J");
  }
}
