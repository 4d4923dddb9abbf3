package org.skylarkfork.core.session;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.List;
import org.skylarkfork.core.configuration.ModelVersion;
import org.testng.annotations.Test;

/** Tests that only whole tokens of our own keys are accepted. */
public final class SessionTokensTest {

  private static final byte[] OLD = "an old key of enough length".getBytes(UTF_8);
  private static final byte[] NEW = "a new key of enough length".getBytes(UTF_8);
  private static final Instant NOW = Instant.EPOCH;
  private static final Instant LATER = NOW.plusSeconds(60);
  private static final SessionPin PIN =
      new SessionPin(
          new SessionKey("team.one", "søssion\n"), new ModelVersion("ruling", "2"), 1, 7, "e");

  @Test
  public void acceptsOwnTokensUntilTheyExpire() {
    String token = new SessionTokens(List.of(OLD)).sign(PIN, LATER);
    SessionTokens both = new SessionTokens(List.of(NEW, OLD));
    assertEquals(both.verify(token, NOW).orElseThrow(), PIN);
    assertTrue(both.verify(token, LATER).isEmpty());
    assertTrue(new SessionTokens(List.of(NEW)).verify(token, NOW).isEmpty());
    assertThrows(IllegalArgumentException.class, () -> new SessionTokens(List.of(new byte[3])));
  }

  @Test
  public void rejectsModifiedAndTruncatedTokens() {
    SessionTokens tokens = new SessionTokens(List.of(OLD));
    String token = tokens.sign(PIN, LATER);
    for (int i = 0; i < token.length(); i++) {
      char other = token.charAt(i) == 'A' ? 'B' : 'A';
      String forged = token.substring(0, i) + other + token.substring(i + 1);
      assertTrue(tokens.verify(forged, NOW).isEmpty(), forged);
      assertTrue(tokens.verify(token.substring(0, i), NOW).isEmpty());
    }
  }
}
