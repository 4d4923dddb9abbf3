package org.skylarkfork.runtime.loop;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.event.LifecycleEvent;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link EventLoopReducer}. */
public final class EventLoopReducerTest {

  private static final int TICKS = 3;
  private static final long MAX_WAIT_SECONDS = 20;

  private final List<Throwable> failures = new CopyOnWriteArrayList<>();
  private EventLoop executor = newLoop();

  private static EventLoop newLoop() {
    return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  }

  /** Starts an event loop. */
  @BeforeMethod
  public void start() {
    executor = newLoop();
    failures.clear();
  }

  /** Ends the event loop. */
  @AfterMethod
  public void close() {
    executor.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private EventLoopReducer loop() {
    return new EventLoopReducer(InstantSource.system(), executor, effect -> {}, failures::add);
  }

  /**
   * Guards against a daemon that lives on without ticks: a periodic task that throws once is never
   * run again.
   */
  @Test
  public void ticksGoOnAfterFailedPeriodicTask() throws Exception {
    AtomicInteger ticks = new AtomicInteger();
    CompletableFuture<Integer> later = new CompletableFuture<>();
    loop()
        .start(
            new Reducer(new ArrayList<>()),
            Duration.ofMillis(1),
            () -> {
              int number = ticks.incrementAndGet();
              if (number == TICKS) {
                later.complete(number);
              }
              throw new IllegalStateException("the periodic task fails");
            });
    assertEquals(later.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS), TICKS);
    assertEquals(failures, List.of());
  }

  /**
   * Guards against a storage thread that dies as the daemon stops, because it reports a write after
   * the event loop has ended.
   */
  @Test
  public void eventsAfterEndOfExecutorAreDropped() {
    EventLoopReducer loop = loop();
    close();
    loop.submit(new LifecycleEvent.Tick());
    assertEquals(failures, List.of());
  }
}
