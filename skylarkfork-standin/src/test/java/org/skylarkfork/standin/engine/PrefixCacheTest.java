package org.skylarkfork.standin.engine;

import static org.skylarkfork.standin.engine.EngineTesting.CHAT;
import static org.skylarkfork.standin.engine.EngineTesting.chat;
import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.skylarkfork.standin.Caller;
import org.skylarkfork.standin.announce.CacheEvent;
import org.testng.annotations.Test;

/** Tests of the prefix cache, alone and in an engine. */
public class PrefixCacheTest {

  @Test
  public void evictsTheLeastRecentlyUsedPrefix() {
    PrefixCache cache = new PrefixCache(2);
    assertEquals(cache.use(List.of("a", "b")), 0);
    assertEquals(cache.use(List.of("a")), 1);

    assertEquals(cache.use(List.of("c")), 0);

    assertEquals(cache.contents(), List.of("a", "c"));
    assertEquals(
        cache.drainEvents(),
        List.of(
            new CacheEvent(1, CacheEvent.Kind.STORED, "a"),
            new CacheEvent(2, CacheEvent.Kind.STORED, "b"),
            new CacheEvent(3, CacheEvent.Kind.STORED, "c"),
            new CacheEvent(4, CacheEvent.Kind.EVICTED, "b")));
    assertEquals(cache.drainEvents(), List.of());
  }

  @Test
  public void countsCachedTokensAndMovesThemBetweenEngines() {
    String prompt = "word ".repeat(40).strip();
    try (StandInEngine first = new StandInEngine(EngineTesting.settings());
        StandInEngine second = new StandInEngine(EngineTesting.settings())) {
      Caller caller = new Caller(first.start());
      assertEquals(cachedTokens(caller, prompt), 0);
      assertEquals(cachedTokens(caller, prompt), 32);
      Caller other = new Caller(second.start());

      other.post("/v1/kv/import", caller.post("/v1/kv/export", "{}").body());

      assertEquals(cachedTokens(other, prompt), 32);
    }
  }

  private static int cachedTokens(Caller caller, String prompt) {
    JsonNode answer = caller.post(CHAT, chat(prompt, false)).json();
    return answer.at("/usage/cached_tokens").asInt();
  }
}
