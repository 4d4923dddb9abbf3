package org.skylarkfork.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests of {@link RequestStory}. */
public final class RequestStoryTest {

  private static final String FAILED =
      "2026-01-01 00:00:01.100 WARN node=b part=request event=attempt_failed id=abc route=r"
          + " kind=NON_IDEMPOTENT attempt=1 upstream=up-1 how=NO_ANSWER ms=90";
  private static final String REFUSED =
      "2026-01-01 00:00:01.101 WARN node=b part=request event=refused id=abc route=r"
          + " kind=NON_IDEMPOTENT why=OUTCOME_UNKNOWN attempts=1 may_have_run=true ms=91";
  private static final String SENT =
      "2026-01-01 00:00:01.010 INFO node=a part=request event=sent id=abc route=r attempt=1 ms=0";

  private static RequestStory story(String... lines) {
    RequestStory story = new RequestStory("abc");
    for (String line : lines) {
      story.add(line);
    }
    return story;
  }

  @Test
  public void linesOfSeveralFilesAreOrderedAndOthersLeftOut() {
    RequestStory story = story(REFUSED, FAILED, SENT.replace("id=abc", "id=abcd"), SENT);
    assertEquals(story.lines().toArray(), new String[] {SENT, FAILED, REFUSED});
  }

  @Test
  public void causeOfUnknownOutcomeNamesTheUpstream() {
    assertEquals(
        story(SENT, FAILED, REFUSED).cause(),
        "It was refused after 91 ms, since it may have run, but no whole answer came: upstream"
            + " up-1 ended attempt 1 with NO_ANSWER.");
  }

  /** Guards against a cut answer that can't be told from one that never began. */
  @Test
  public void causeOfBrokenStreamNamesWhatWasReceived() {
    String failed =
        FAILED.replace(
            "how=NO_ANSWER",
            "how=BROKEN_OFF framing=CONNECTION end=EVENT_CUT bytes=41 events=2 unfinished_bytes=7"
                + " connection=CLOSED_BY_UPSTREAM");
    String broken =
        "2026-01-01 00:00:01.101 WARN node=b part=request event=broken_off id=abc ms=91";
    assertEquals(
        story(SENT, failed, broken).cause(),
        "Its stream was broken off after 91 ms: upstream up-1 ended attempt 1 with BROKEN_OFF"
            + " (EVENT_CUT after 41 bytes, framing CONNECTION, connection CLOSED_BY_UPSTREAM).");
  }

  @Test
  public void refusalNamesRequestedBackoffs() {
    String refused =
        "2026-01-01 00:00:01.101 WARN node=b part=request event=refused id=abc route=r"
            + " why=NO_UPSTREAM attempts=0 backed_off=3 ms=0";
    assertEquals(
        story(refused).cause(),
        "It was refused after 0 ms, since no upstream took it: upstreams of its service that had"
            + " asked the entry for a backoff: 3; no attempt failed.");
  }

  @Test
  public void linesOfOneMomentKeepTheirOrder() {
    String again = FAILED.replace("WARN", "INFO").replace("attempt_failed", "sent");
    assertEquals(story(FAILED, again).lines().toArray(), new String[] {FAILED, again});
  }

  @Test
  public void refusalWithoutRouteNamesTheProof() {
    String refused =
        "2026-01-01 00:00:01.101 WARN node=b part=request event=refused id=abc why=NOT_SERVING"
            + " host=h configuration=2 proof_age_ms=5872";
    assertEquals(
        story(refused).cause(),
        "It was refused after a wait in the entry, since the entry had no proof that its"
            + " configuration was the newest (see proof_age_ms).");
  }

  @Test
  public void refusalOfQuarantinedRequestNamesTheCommand() {
    String refused =
        "2026-01-01 00:00:01.101 WARN node=b part=request event=refused id=abc why=QUARANTINED"
            + " content=/00000000000000ab host=h configuration=2 proof_age_ms=87";
    assertTrue(
        story(refused).cause().contains("(skylarkfork quarantine lists it)"),
        story(refused).cause());
  }

  @Test
  public void requestWithoutLinesOrEndIsToldAsSuch() {
    assertTrue(story().cause().startsWith("No line names this request"));
    assertTrue(story(SENT).cause().startsWith("The request's end is not in these files"));
  }
}
