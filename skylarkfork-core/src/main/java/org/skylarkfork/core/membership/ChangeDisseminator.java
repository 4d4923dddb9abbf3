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
 * Disseminates changes of this daemon's upstreams to all daemons at a bounded rate.
 *
 * <p>In a small deployment each daemon receives the changes directly. In a large one the daemons of
 * the own zone receive them directly, and one or two daemons of each other zone forward them within
 * their zone. A change then costs each daemon about one message, where gossip would cost three
 * times the logarithm of the number of daemons. {@link DirectoryAntiEntropy} repairs lost changes.
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

  /** Adds a change, which replaces a pending older change of the same upstream. */
  void add(UpstreamRecord record) {
    urgent.remove(record.id());
    regular.remove(record.id());
    (record.acceptsWork() ? regular : urgent).put(record.id(), record);
  }

  void tick(Instant now, Output output) {
    if (now.isBefore(nextRound) || urgent.isEmpty() && regular.isEmpty()) {
      return;
    }
    // Changes that take an upstream out of service go first: it would refuse new work sent
    // meanwhile.
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

  /** Forwards changes that were new to this daemon to the other daemons of this zone. */
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

  /** Returns the receivers, each with whether it forwards the changes within its zone. */
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
