package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.effect.PeerEffect.SendToPeer;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.message.RelayMessage.CachedPrefix;
import org.skylarkfork.core.message.RelayMessage.EntryLoads;
import org.skylarkfork.core.message.RelayMessage.UpstreamLoad;

/**
 * Sends other entries the load that this entry has at upstreams and records the load that they
 * report.
 *
 * <p>Each entry sees an eighth of the traffic or less. Without the other entries' load it would
 * queue a prompt that takes a second to prefill behind seconds of their prompts while other engines
 * are idle.
 */
public final class LoadExchangePart implements Part {

  /** Minimum time between two reports; the prefill of a prompt takes ten times as long. */
  private static final Duration MIN_INTERVAL = Duration.ofMillis(50);

  /**
   * Time after which an unchanged load is reported again, a third of the age at which a report
   * expires.
   */
  private static final Duration REPEAT_INTERVAL = Duration.ofMillis(400);

  /**
   * Maximum number of upstreams in one message. With {@link #MAX_PROMPTS} prefixes the message has
   * 2 KB at the most, far below an entry's share of the traffic.
   */
  private static final int MAX_LOADS = 64;

  private static final int MAX_PROMPTS = 32;

  private final RelayEntryPart entry;
  private final SentPrefixes prompts;
  private List<UpstreamLoad> reportedLoads = List.of();
  private Instant reportedAt = Instant.EPOCH;

  /**
   * Creates the part.
   *
   * @param entry this entry's view of the deployment
   * @param requests handles this entry's requests, whose attempts are reported
   */
  public LoadExchangePart(RelayEntryPart entry, RelayRequestPart requests) {
    this.entry = entry;
    this.prompts = requests.prompts();
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof LifecycleEvent.Tick) {
      report(now, output);
    } else if (event instanceof PeerEvent.MessageReceived received
        && received.message() instanceof EntryLoads loads) {
      recordReport(received.node(), loads, now);
    }
  }

  private void report(Instant now, Output output) {
    if (now.isBefore(reportedAt.plus(MIN_INTERVAL)) || entry.peers().isEmpty()) {
      return;
    }
    List<UpstreamLoad> loads = loads();
    List<CachedPrefix> sent = prompts.takeUnreported(MAX_PROMPTS);
    boolean repeat = !loads.isEmpty() && !now.isBefore(reportedAt.plus(REPEAT_INTERVAL));
    if (repeat || !sent.isEmpty() || !loads.equals(reportedLoads)) {
      reportedLoads = loads;
      reportedAt = now;
      EntryLoads message = new EntryLoads(loads, sent);
      entry.peers().forEach(peer -> output.effect(new SendToPeer(peer, message)));
    }
  }

  private List<UpstreamLoad> loads() {
    List<UpstreamLoad> loads = new ArrayList<>();
    for (TrackedUpstream tracked : entry.allUpstreams()) {
      if (tracked.ownRunning() > 0 && loads.size() < MAX_LOADS) {
        int waiting = (int) Math.round(tracked.ownWaitingMillis());
        loads.add(new UpstreamLoad(tracked.instance().id(), tracked.ownRunning(), waiting));
      }
    }
    return loads;
  }

  private void recordReport(String peer, EntryLoads message, Instant now) {
    Map<String, UpstreamLoad> byUpstream = new HashMap<>();
    message.loads().forEach(load -> byUpstream.put(load.upstream(), load));
    for (TrackedUpstream tracked : entry.allUpstreams()) {
      UpstreamLoad load = byUpstream.get(tracked.instance().id());
      int running = load == null ? 0 : load.running();
      tracked.peerLoads().update(peer, running, load == null ? 0 : load.waitingMillis(), now);
    }
    for (CachedPrefix prompt : message.prompts()) {
      TrackedUpstream tracked = entry.upstream(prompt.upstream());
      if (tracked != null) {
        tracked.prefixCache().recordUse(prompt.key());
      }
    }
  }
}
