package org.skylarkfork.runtime.relay;

import static org.testng.Assert.assertEquals;

import io.netty.bootstrap.Bootstrap;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests of {@link UpstreamPool}. */
public final class UpstreamPoolTest {

  /**
   * Guards against losing one request after the other to an upstream that drops idle connections
   * earlier than it states. After the first stale connection, the pool reuses connections only up
   * to a shorter idle time, and lifts this limit some time later.
   */
  @Test
  public void staleConnectionLowersMaxIdleTime() {
    UpstreamPool pool =
        new UpstreamPool(
            new Bootstrap(), new InetSocketAddress("127.0.0.1", 1), new RelayHeaders());
    long now = System.nanoTime();
    assertEquals(pool.maxIdleNanos(now), Long.MAX_VALUE);
    pool.recordStale(TimeUnit.MILLISECONDS.toNanos(400));
    pool.recordStale(TimeUnit.MILLISECONDS.toNanos(900));
    assertEquals(pool.maxIdleNanos(now), TimeUnit.MILLISECONDS.toNanos(280));
    assertEquals(pool.maxIdleNanos(now + TimeUnit.SECONDS.toNanos(60)), Long.MAX_VALUE);
  }

  /**
   * An upstream with an invalid address provides no connection, so the request goes to another
   * upstream.
   */
  @Test
  public void upstreamWithoutAddressProvidesNoConnection() {
    UpstreamPool pool = new UpstreamPool(new Bootstrap(), null, new RelayHeaders());
    List<Boolean> connected = new ArrayList<>();
    pool.acquire(false, 2, connection -> connected.add(connection != null));
    pool.probe(connected::add);
    assertEquals(connected, List.of(false, false));
  }
}
