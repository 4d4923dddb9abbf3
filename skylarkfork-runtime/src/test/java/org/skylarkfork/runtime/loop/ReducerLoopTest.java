package org.skylarkfork.runtime.loop;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.skylarkfork.core.Reducer;
import org.testng.annotations.Test;

/** Tests of {@link ReducerLoop}. */
public final class ReducerLoopTest {

  private static final long MAX_WAIT_SECONDS = 20;

  /** Guards against a daemon that ends because the class of a page can't be loaded. */
  @Test
  public void failedQuestionFailsOnlyItsAnswer() throws Exception {
    List<Throwable> failures = new CopyOnWriteArrayList<>();
    try (ReducerLoop loop =
        new ReducerLoop(InstantSource.system(), effect -> {}, Journal.NONE, failures::add)) {
      loop.start(new Reducer(new ArrayList<>()));
      CompletableFuture<String> failing =
          loop.ask(
              now -> {
                throw new NoClassDefFoundError("a page");
              });
      CompletableFuture<String> next = loop.ask(now -> "answer");
      ExecutionException failure =
          expectThrows(
              ExecutionException.class, () -> failing.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS));
      assertTrue(failure.getCause() instanceof NoClassDefFoundError);
      assertEquals(next.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS), "answer");
      assertEquals(failures, List.of());
    }
  }
}
