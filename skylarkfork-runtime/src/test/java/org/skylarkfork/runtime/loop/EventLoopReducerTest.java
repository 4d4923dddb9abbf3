package org.skylarkfork.runtime.loop;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.skylarkfork.core.Reducer;
import org.testng.annotations.Test;

/** Tests {@link EventLoopReducer}. */
public final class EventLoopReducerTest {

  private static final int TICKS = 3;

  /** Guards against a daemon without ticks, of no use, after one failure of what a tick does. */
  @Test
  public void failureAfterTickDoesNotEndTheTicks() throws Exception {
    EventLoop eventLoop = new DefaultEventLoop();
    CountDownLatch ticks = new CountDownLatch(TICKS);
    AtomicInteger failures = new AtomicInteger();
    EventLoopReducer loop =
        new EventLoopReducer(
            InstantSource.system(), eventLoop, effect -> {}, failure -> failures.incrementAndGet());
    try {
      loop.start(
          new Reducer(List.of()),
          Duration.ofMillis(1),
          () -> {
            ticks.countDown();
            throw new IllegalStateException("closed meanwhile");
          });
      assertTrue(ticks.await(20, TimeUnit.SECONDS), ticks.getCount() + " ticks are missing");
      assertEquals(failures.get(), 0);
    } finally {
      eventLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }
}
