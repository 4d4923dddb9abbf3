package org.skylarkfork.core.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.message.PeerMessage;
import org.skylarkfork.core.message.RelayMessage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests with messages that no daemon of this build sends: of random kinds, with odd values, sent
 * again later and from any peer.
 */
public final class RandomPeerMessagesTest {

  private static final int SEEDS = 12;
  private static final int STEPS = 60;
  private static final int MESSAGES_A_STEP = 5;

  /** Seeds of the runs. */
  @DataProvider
  public Object[][] seeds() {
    Object[][] seeds = new Object[SEEDS][];
    for (int seed = 1; seed <= SEEDS; seed++) {
      seeds[seed - 1] = new Object[] {seed};
    }
    return seeds;
  }

  /**
   * Guards against a daemon that ends because of one message of a peer, such as one of an older or
   * newer build, or of one that comes late.
   */
  @Test(dataProvider = "seeds")
  public void oddMessagesOfPeersHaltNoDaemon(int seed) {
    final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    CrashingRequestSimulation run = new CrashingRequestSimulation(seed, 3, 3);
    run.sendOrdinaryRequests(50);
    List<String> daemons = new ArrayList<>(run.controls);
    daemons.addAll(run.entries);
    List<String> texts = new ArrayList<>(daemons);
    texts.addAll(List.of("", "service", "up-1", "a", "v1", "10.0.0.1:80", "odd", "team"));
    RandomRecords records = new RandomRecords(random, texts);
    List<PeerEvent.MessageReceived> sent = new ArrayList<>();
    for (int step = 0; step < STEPS; step++) {
      for (int number = 0; number < MESSAGES_A_STEP; number++) {
        boolean repeats = !sent.isEmpty() && random.nextInt(3) == 0;
        PeerEvent.MessageReceived event =
            repeats
                ? sent.get(random.nextInt(sent.size()))
                : new PeerEvent.MessageReceived(
                    texts.get(random.nextInt(texts.size())),
                    (PeerMessage) records.ofSealed(RelayMessage.class));
        sent.add(event);
        String receiver = daemons.get(random.nextInt(daemons.size()));
        try {
          run.network.inject(receiver, event);
          run.run(Duration.ofMillis(20));
        } catch (RuntimeException | Error failed) {
          throw new AssertionError("seed " + seed + ", " + receiver + ", " + event, failed);
        }
      }
    }
  }
}
