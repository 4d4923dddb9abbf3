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
   * Callers' requests aren't lost one after the other. The upstream forgets resting connections
   * sooner than it says; after the first that it had given up, others aren't used for as long, and
   * some time later the upstream is trusted again.
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

  /** An upstream whose address can't be read takes no connection; the request goes elsewhere. */
  @Test
  public void upstreamWithoutAddressProvidesNoConnection() {
    UpstreamPool pool = new UpstreamPool(new Bootstrap(), null, new RelayHeaders());
    List<Boolean> taken = new ArrayList<>();
    pool.acquire(false, 2, connection -> taken.add(connection != null));
    pool.probe(taken::add);
    assertEquals(taken, List.of(false, false));
  }
}
