package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.message.RelayMessage;
import org.skylarkfork.core.upstream.UpstreamRun;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link RelayEntryPart}. */
public final class RelayEntryPartTest {

  private static final String CONTROL = "control-1";

  private RelayEntryPart entry = part();
  private Reducer reducer = new Reducer(List.of(entry));
  private long sequence;
  private List<String> evacuated = List.of();

  private static RelayEntryPart part() {
    return new RelayEntryPart(
        new EntryIdentity("10.0.0.9:80", "a", 1),
        List.of(CONTROL),
        RelayTimings.of(Duration.ofSeconds(5), Duration.ofSeconds(1)),
        new VersionLedger());
  }

  /** Each test begins anew. */
  @BeforeMethod
  public void setUp() {
    entry = part();
    reducer = new Reducer(List.of(entry));
    sequence = 0;
    evacuated = List.of();
  }

  private void told(List<UpstreamRun> leaving, UpstreamInstance... instances) {
    sequence++;
    List<UpstreamStatus> statuses =
        List.of(instances).stream()
            .map(instance -> new UpstreamStatus(instance, UpstreamCondition.READY))
            .toList();
    RelayMessage.EntryUpdate update =
        new RelayMessage.EntryUpdate(
            RelayFixture.START,
            sequence,
            null,
            new RelayMessage.SharedState(List.of(), leaving, evacuated, List.of()),
            new RelayMessage.DirectoryChanges(1, sequence, sequence == 1, true, statuses),
            List.of(CONTROL),
            1,
            null);
    reducer.apply(new PeerEvent.MessageReceived(CONTROL, update), RelayFixture.START);
  }

  private static UpstreamInstance started(long sequence, long bornMillis) {
    return new UpstreamInstance("up", "service", "10.0.0.1:80", "a", "v1", 1, sequence, bornMillis);
  }

  private TrackedUpstream only() {
    List<TrackedUpstream> known = entry.upstreams("service");
    assertEquals(known.size(), 1);
    return known.get(0);
  }

  /**
   * Callers would wait for a sound upstream. It crashed, failed what was sent to it, and started
   * again under its id: the failures were the earlier process's, as was what it kept of prompts.
   */
  @Test
  public void nothingOfAnEarlierStartIsKept() {
    told(List.of(), started(30, 1000));
    TrackedUpstream first = only();
    first.recordFailure(true, RelayFixture.START);
    told(List.of(), started(1, 2000));
    assertNotSame(only(), first);
    assertEquals(only().failureShare(), 0.0);
  }

  @Test
  public void lateWordOfAnEarlierStartEmptiesNothing() {
    told(List.of(), started(1, 2000));
    TrackedUpstream known = only();
    told(List.of(), started(40, 1000));
    assertSame(only(), known);
    assertEquals(known.instance().sequence(), 1);
  }

  /** The earlier start had said that it leaves; the later one serves. */
  @Test
  public void laterStartIsUsedThoughAnEarlierOneLeft() {
    told(List.of(new UpstreamRun("up", 1000)), started(30, 1000));
    assertEquals(only().condition(), UpstreamCondition.LEAVING);
    told(List.of(new UpstreamRun("up", 1000)), started(1, 2000));
    assertEquals(only().condition(), UpstreamCondition.READY);
  }

  /** An upstream that is heard of only after its zone was evacuated gets nothing either. */
  @Test
  public void upstreamsOfAnEvacuatedZoneGetNothingUntilItIsTakenBack() {
    told(List.of(), started(1, 1000));
    evacuated = List.of("a");
    told(List.of());
    assertEquals(only().condition(), UpstreamCondition.EVACUATED);
    told(List.of(), started(1, 2000));
    assertEquals(only().condition(), UpstreamCondition.EVACUATED);
    evacuated = List.of();
    told(List.of(), started(2, 2000).coldFor(3000));
    assertEquals(only().condition(), UpstreamCondition.READY);
    assertTrue(only().isCold(RelayFixture.START.plusMillis(2999)));
    told(List.of(), started(3, 2000));
    assertFalse(only().isCold(RelayFixture.START), "warm again");
  }
}
