package org.skylarkfork.standin.rating;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.skylarkfork.standin.Caller;
import org.skylarkfork.standin.text.AnswerText;
import org.testng.annotations.Test;
import reactor.core.Disposable;

/** Tests of the rating service. */
public class StandInRatingTest {

  private static final String RATINGS = "/v1/ratings";
  private static final Map<String, Double> QUALITIES =
      Map.of("ruling-small:2", 0.6, "ruling-large:1", 0.9);

  private static String body(String model, String version, String prompt, boolean bad) {
    List<String> answer = AnswerText.tokens(model + ":" + version, prompt, "r-1", 20, 20, bad);
    String form =
        "{\"requestId\":\"r-1\",\"model\":\"%s\",\"version\":\"%s\",\"prompt\":\"%s\","
            + "\"answer\":\"%s\"}";
    return form.formatted(model, version, prompt, String.join("", answer));
  }

  private static double score(Caller caller, String body) {
    return caller.post(RATINGS, body).json().path("score").asDouble(-1);
  }

  @Test
  public void scoresByQualityDifficultyAndWrongWords() {
    try (StandInRating rating = new StandInRating(RatingSettings.of(QUALITIES))) {
      Caller caller = new Caller(rating.start());
      String hard = "explain [difficulty=0.7]";

      assertEquals(score(caller, body("ruling-small", "2", hard, false)), 0.4, 1e-9);
      assertEquals(score(caller, body("ruling-large", "1", hard, false)), 0.7, 1e-9);
      assertEquals(score(caller, body("ruling-large", "1", "[difficulty=0.2]", false)), 1.0, 1e-9);
      assertEquals(score(caller, body("ruling-large", "1", hard, true)), 0.0, 1e-9);
      assertEquals(caller.post(RATINGS, "{\"requestId\":\"r\"}").status(), 400);
    }
  }

  @Test
  public void skipsAndMissesAsItIsSetTo() {
    Duration now = Duration.ZERO;
    RatingSettings skipping = new RatingSettings(null, 0, QUALITIES, 0, now, 1, 0, 0, now, 1);
    RatingSettings missing = new RatingSettings(null, 0, QUALITIES, 0, now, 0, 1, 0, now, 1);
    String body = body("ruling-small", "2", "a", false);
    try (StandInRating skips = new StandInRating(skipping);
        StandInRating misses = new StandInRating(missing)) {
      assertEquals(new Caller(skips.start()).post(RATINGS, body).status(), 204);

      Caller caller = new Caller(misses.start());
      Disposable call = caller.send(HttpMethod.POST, RATINGS, body).subscribe();
      caller.await("/control/state", state -> state.path("missing").asInt() == 1);
      assertFalse(call.isDisposed());
      call.dispose();
    }
  }

  @Test
  public void noiseChangesScoresButStaysInBounds() {
    Duration now = Duration.ZERO;
    RatingSettings noisy = new RatingSettings(null, 0, QUALITIES, 0.1, now, 0, 0, 1, now, 1);
    try (StandInRating rating = new StandInRating(noisy)) {
      Caller caller = new Caller(rating.start());
      String body = body("ruling-small", "2", "[difficulty=0.6]", false);

      double score = score(caller, body);

      assertTrue(score >= 0.4 && score <= 0.6 && score != 0.5, "score " + score);
      assertEquals(score(caller, body), score);
    }
  }
}
