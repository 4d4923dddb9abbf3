package org.skylarkfork.core.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.message.DirectoryMessage;
import org.skylarkfork.core.upstream.UpstreamRecord;

/**
 * Passes changes of this daemon's upstreams on to all daemons, at a bounded rate.
 *
 * <p>Few daemons get them directly. Of many, those in the own zone do, and in each other zone one
 * or two pass them on: so a change costs each daemon about one message, where gossip would cost
 * three times the logarithm of their number. What gets lost is repaired by {@link
 * DirectoryAntiEntropy}.
 */
final class ChangeDisseminator {

  private static final int MAX_RECORDS_PER_MESSAGE = 32;
  private static final int FORWARDERS_PER_ZONE = 1;
  private static final int URGENT_FORWARDERS_PER_ZONE = 2;

  private final Members members;
  private final DirectorySettings settings;
  private final UniformRandomProvider random;
  private final Map<String, UpstreamRecord> urgent = new LinkedHashMap<>();
  private final Map<String, UpstreamRecord> regular = new LinkedHashMap<>();
  private Instant nextRound = Instant.MIN;

  ChangeDisseminator(Members members, DirectorySettings settings, UniformRandomProvider random) {
    this.members = members;
    this.settings = settings;
    this.random = random;
  }

  /** Adds a change; an older one of the same upstream that still waits is dropped. */
  void add(UpstreamRecord record) {
    urgent.remove(record.id());
    regular.remove(record.id());
    (record.takesWork() ? regular : urgent).put(record.id(), record);
  }

  void tick(Instant now, Output output) {
    if (now.isBefore(nextRound) || urgent.isEmpty() && regular.isEmpty()) {
      return;
    }
    // What takes an upstream out goes first: new work sent there meanwhile would be refused.
    boolean isUrgent = !urgent.isEmpty();
    List<UpstreamRecord> batch = take(isUrgent ? urgent : regular);
    int sent = 0;
    for (Map.Entry<String, Boolean> target : targets(isUrgent).entrySet()) {
      boolean forward = target.getValue();
      output.effect(
          new PeerEffect.SendToPeer(target.getKey(), new DirectoryMessage.Changes(batch, forward)));
      sent += batch.size();
    }
    nextRound =
        now.plus(settings.disseminationInterval())
            .plusMillis(1000L * sent / settings.maxRecordsPerSecond());
  }

  /** Passes changes that were news here on to the daemons of this zone. */
  void forward(List<UpstreamRecord> records, String from, Output output) {
    for (Member member : members.liveIn(members.self().zone())) {
      if (!isSelf(member) && !member.name().equals(from)) {
        output.effect(
            new PeerEffect.SendToPeer(member.name(), new DirectoryMessage.Changes(records, false)));
      }
    }
  }

  private List<UpstreamRecord> take(Map<String, UpstreamRecord> waiting) {
    List<UpstreamRecord> batch = new ArrayList<>();
    Iterator<UpstreamRecord> it = waiting.values().iterator();
    while (it.hasNext() && batch.size() < MAX_RECORDS_PER_MESSAGE) {
      batch.add(it.next());
      it.remove();
    }
    return batch;
  }

  /** Returns whom to tell, and whether it passes the changes on. */
  private Map<String, Boolean> targets(boolean isUrgent) {
    Map<String, Boolean> targets = new TreeMap<>();
    Map<String, List<String>> remoteZones = new TreeMap<>();
    boolean direct = members.live().size() <= settings.maxDirectFanout();
    for (Member member : members.live()) {
      if (isSelf(member)) {
        continue;
      }
      if (direct || member.zone().equals(members.self().zone())) {
        targets.put(member.name(), false);
      } else {
        remoteZones.computeIfAbsent(member.zone(), zone -> new ArrayList<>()).add(member.name());
      }
    }
    for (List<String> zone : remoteZones.values()) {
      Shuffle.inPlace(zone, random);
      int forwarders =
          Math.min(zone.size(), isUrgent ? URGENT_FORWARDERS_PER_ZONE : FORWARDERS_PER_ZONE);
      zone.subList(0, forwarders).forEach(forwarder -> targets.put(forwarder, true));
    }
    return targets;
  }

  private boolean isSelf(Member member) {
    return member.name().equals(members.self().name());
  }
}
