package org.skylarkfork.core.attempt;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.event.UpstreamEvent.AttemptStage;
import org.skylarkfork.core.routing.Plan;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that effects tell the first attempt of a request from later ones. */
public final class LaterAttemptTest {

  /** Returns ways in which the first attempt fails, and whether it had sent tokens before. */
  @DataProvider
  public static Object[][] failures() {
    return new Object[][] {
      {AttemptStage.REFUSED_NOT_STARTED, 0},
      {AttemptStage.REFUSED_STARTED, 0},
      {AttemptStage.ANSWER_BEGUN, 3},
    };
  }

  /** Guards against a retried or resumed draft that can get an earlier attempt's answer. */
  @Test(dataProvider = "failures")
  public void repeatedDraftIsMarked(AttemptStage stage, int tokens) {
    RequestFixture fixture = new RequestFixture();
    fixture.send("r", RequestFixture.stream());
    if (tokens > 0) {
      fixture.tokens("r.1", 0, tokens);
    }
    fixture.fail("r.1", stage);
    assertEquals(draftMarks(fixture), List.of(false, true));
  }

  /** Guards against a larger model's draft that can get the smaller one's answer. */
  @Test
  public void draftOfTheNextStepIsMarked() {
    RequestFixture fixture = new RequestFixture();
    fixture.steps =
        List.of(
            new Plan.Step(RequestFixture.SMALL, true), new Plan.Step(RequestFixture.LARGE, false));
    fixture.send("r", RequestFixture.stream());
    fixture.tokens("r.1", 0, 2);
    fixture.finish("r.1", 2);
    fixture.apply(new UpstreamEvent.Rated("r", "r.1", 0.5));
    assertEquals(draftMarks(fixture), List.of(false, true));
  }

  /** Guards against a lookup sent again that can get an earlier attempt's answer. */
  @Test
  public void repeatedLookupIsMarked() {
    RequestFixture fixture = new RequestFixture();
    fixture.send("r", RequestFixture.call("GET", null));
    assertFalse(fixture.lastEffect(UpstreamEffect.DispatchCall.class).laterAttempt());
    fixture.fail("r.1", AttemptStage.REFUSED_NOT_STARTED);
    fixture.advance(Duration.ofMillis(100));
    assertTrue(fixture.lastEffect(UpstreamEffect.DispatchCall.class).laterAttempt());
  }

  private static List<Boolean> draftMarks(RequestFixture fixture) {
    return fixture.effectsOf(UpstreamEffect.DispatchDraft.class).stream()
        .map(UpstreamEffect.DispatchDraft::laterAttempt)
        .toList();
  }
}
