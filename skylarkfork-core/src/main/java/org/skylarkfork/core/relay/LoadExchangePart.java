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
 * Tells other entries what this one has under way at upstreams, and takes their word.
 *
 * <p>Each entry sees an eighth of the traffic or less. Without the others' part it sends a prompt
 * of a second of reading behind seconds of others' reading, while engines beside it are idle.
 */
public final class LoadExchangePart implements Part {

  /** Least time between two tellings; a prompt's reading takes ten times as long. */
  private static final Duration LEAST_PAUSE = Duration.ofMillis(50);

  /** Time after which an unchanged load is told again, a third of the age at which it expires. */
  private static final Duration AGAIN = Duration.ofMillis(400);

  /** Upstreams and prompts in one message: 2 KB at the most, far less than an entry's share. */
  private static final int MOST_LOADS = 64;

  private static final int MOST_PROMPTS = 32;

  private final RelayEntryPart entry;
  private final SentPrefixes prompts;
  private List<UpstreamLoad> told = List.of();
  private Instant toldAt = Instant.EPOCH;

  /**
   * Makes the part.
   *
   * @param entry what this entry believes
   * @param requests the decisions on requests, whose attempts are told
   */
  public LoadExchangePart(RelayEntryPart entry, RelayRequestPart requests) {
    this.entry = entry;
    this.prompts = requests.prompts();
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof LifecycleEvent.Tick) {
      tell(now, output);
    } else if (event instanceof PeerEvent.MessageReceived received
        && received.message() instanceof EntryLoads loads) {
      take(received.node(), loads, now);
    }
  }

  private void tell(Instant now, Output output) {
    if (now.isBefore(toldAt.plus(LEAST_PAUSE)) || entry.peers().isEmpty()) {
      return;
    }
    List<UpstreamLoad> loads = loads();
    List<CachedPrefix> sent = prompts.takeUnreported(MOST_PROMPTS);
    boolean again = !loads.isEmpty() && !now.isBefore(toldAt.plus(AGAIN));
    if (again || !sent.isEmpty() || !loads.equals(told)) {
      told = loads;
      toldAt = now;
      EntryLoads message = new EntryLoads(loads, sent);
      entry.peers().forEach(peer -> output.effect(new SendToPeer(peer, message)));
    }
  }

  private List<UpstreamLoad> loads() {
    List<UpstreamLoad> loads = new ArrayList<>();
    for (TrackedUpstream track : entry.tracks()) {
      if (track.ownRunning() > 0 && loads.size() < MOST_LOADS) {
        int waiting = (int) Math.round(track.ownWaitingMillis());
        loads.add(new UpstreamLoad(track.instance().id(), track.ownRunning(), waiting));
      }
    }
    return loads;
  }

  private void take(String peer, EntryLoads message, Instant now) {
    Map<String, UpstreamLoad> byUpstream = new HashMap<>();
    message.loads().forEach(load -> byUpstream.put(load.upstream(), load));
    for (TrackedUpstream track : entry.tracks()) {
      UpstreamLoad load = byUpstream.get(track.instance().id());
      int running = load == null ? 0 : load.running();
      track.peerLoads().update(peer, running, load == null ? 0 : load.waitingMillis(), now);
    }
    for (CachedPrefix prompt : message.prompts()) {
      TrackedUpstream track = entry.track(prompt.upstream());
      if (track != null) {
        track.prefixCache().recordUse(prompt.key());
      }
    }
  }
}
