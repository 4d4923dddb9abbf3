package org.skylarkfork.core.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.List;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.upstream.Announcement;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how one daemon's directory processes announcements. */
public final class DirectoryPartTest {

  private FixedConfiguration configuration;
  private DirectoryPart directory;
  private Reducer reducer;
  private Instant now = TestNetwork.START;

  /** Starts each test with an empty directory. */
  @BeforeMethod
  public void start() {
    TestDaemon daemon = new TestNetwork(1).start(1, 1);
    directory = daemon.directory;
    reducer = daemon.reducer;
    configuration = daemon.configuration;
  }

  @Test
  public void silentUpstreamIsRemovedUntilNextAnnouncement() {
    announce(Announcements.engine("engine-1", 1, 7001));
    assertEquals(engines(), List.of("engine-1"));
    advanceTime(4000);
    assertEquals(engines(), List.of());
    assertTrue(directory.find("engine-1").isEmpty());
    announce(Announcements.engine("engine-1", 1, 7001));
    assertEquals(engines(), List.of("engine-1"));
    configuration.set(List.of("engine-1"), List.of(), List.of());
    assertEquals(engines(), List.of());
    configuration.set(List.of(), List.of(), List.of());
  }

  /**
   * Guards against requests to a process that has ended or whose address belongs to another
   * process: engine-2 announces its end and a late heartbeat of it arrives; then engine-3 starts at
   * its address. The late heartbeat must not restore engine-2.
   */
  @Test
  public void goneAndReplacedUpstreamsDoNotReturn() {
    announce(Announcements.engine("engine-2", 1, 7002));
    announce(Announcements.engine("engine-2", 1, 7002, false, true, 0));
    announce(Announcements.engine("engine-2", 1, 7002));
    assertTrue(directory.find("engine-2").isEmpty());
    announce(Announcements.engine("engine-2", 2, 7002));
    assertTrue(directory.find("engine-2").isPresent());
    announce(Announcements.engine("engine-3", 1, 7002));
    assertTrue(directory.find("engine-2").isEmpty());
    assertTrue(directory.find("engine-3").isPresent());
    announce(Announcements.engine("engine-3", 1, 7002, true, false, 3));
    assertEquals(engines(), List.of());
    assertEquals(directory.find("engine-3").orElseThrow().load().running(), 3);
  }

  private void announce(Announcement announcement) {
    reducer.apply(new UpstreamEvent.Announced(announcement), now);
  }

  private void advanceTime(long millis) {
    now = now.plusMillis(millis);
    reducer.apply(new LifecycleEvent.Tick(), now);
  }

  private List<String> engines() {
    return directory.engines(Announcements.RULING, now).stream().map(Announcement::id).toList();
  }
}
