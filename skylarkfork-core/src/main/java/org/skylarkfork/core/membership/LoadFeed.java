package org.skylarkfork.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.message.DirectoryMessage;
import org.skylarkfork.core.upstream.LoadReport;
import org.skylarkfork.core.upstream.UpstreamRecord;
import org.skylarkfork.core.upstream.UpstreamState;

/** Sends loads of this daemon's upstreams to the daemons that use them, and asks for others'. */
final class LoadFeed {

  private static final Duration RENEW = Duration.ofSeconds(20);
  private static final Duration LOOK = Duration.ofSeconds(1);
  private static final Duration EXPIRY = Duration.ofSeconds(60);

  /** About what one load takes in a message, in bytes. */
  private static final int LOAD_BYTES = 110;

  /** Smaller changes of the prefix cache's use are not worth a message. */
  private static final double CACHE_STEP = 0.1;

  private final Members members;
  private final DirectorySettings settings;
  private final UpstreamTable table;
  private final Map<String, Follower> followers = new TreeMap<>();
  private Map<String, Set<String>> followed = Map.of();
  private Instant nextLook = Instant.MIN;
  private Instant nextRenewal = Instant.MIN;

  LoadFeed(Members members, DirectorySettings settings, UpstreamTable table) {
    this.members = members;
    this.settings = settings;
    this.table = table;
  }

  void follow(String node, DirectoryMessage.FollowLoads wish, Instant now) {
    Follower known = followers.get(node);
    Follower follower = new Follower(wish, now.plus(EXPIRY));
    if (known != null) {
      follower.sent.putAll(known.sent);
      follower.sent.keySet().retainAll(wish.ids());
    }
    followers.put(node, follower);
  }

  void loads(DirectoryMessage.Loads loads) {
    for (DirectoryMessage.UpstreamLoad load : loads.loads()) {
      UpstreamRecord known = table.get(load.id());
      if (known != null && known.announcement().incarnation() == load.incarnation()) {
        table.putLoad(load.id(), load.load());
      }
    }
  }

  void tick(Instant now, Output output) {
    if (!now.isBefore(nextLook)) {
      nextLook = now.plus(LOOK);
      askOwners(now, output);
    }
    for (Iterator<Map.Entry<String, Follower>> it = followers.entrySet().iterator();
        it.hasNext(); ) {
      Map.Entry<String, Follower> entry = it.next();
      Follower follower = entry.getValue();
      if (!now.isBefore(follower.expiry)) {
        it.remove();
      } else if (!now.isBefore(follower.nextReport)) {
        report(entry.getKey(), follower, now, output);
      }
    }
  }

  private void askOwners(Instant now, Output output) {
    Map<String, Set<String>> byOwner = new TreeMap<>();
    int count = 0;
    for (String id : table.used()) {
      UpstreamRecord record = table.get(id);
      if (record != null && !record.owner().equals(members.self().name())) {
        byOwner.computeIfAbsent(record.owner(), owner -> new TreeSet<>()).add(id);
        count++;
      }
    }
    boolean renew = !now.isBefore(nextRenewal);
    long affordable = 1000L * LOAD_BYTES * count / settings.maxLoadBytesPerSecond();
    long every = Math.max(settings.loadReportInterval().toMillis(), affordable);
    for (Map.Entry<String, Set<String>> entry : byOwner.entrySet()) {
      if (renew || !entry.getValue().equals(followed.get(entry.getKey()))) {
        List<String> ids = List.copyOf(entry.getValue());
        send(entry.getKey(), new DirectoryMessage.FollowLoads(ids, every), output);
      }
    }
    followed = byOwner;
    if (renew) {
      nextRenewal = now.plus(RENEW);
    }
  }

  private void report(String node, Follower follower, Instant now, Output output) {
    follower.nextReport = now.plusMillis(follower.wish.everyMillis());
    List<DirectoryMessage.UpstreamLoad> loads = new ArrayList<>();
    for (String id : follower.wish.ids()) {
      UpstreamRecord record = table.get(id);
      boolean mine = record != null && record.owner().equals(members.self().name());
      if (!mine || record.state() != UpstreamState.LIVE) {
        continue;
      }
      LoadReport load = record.announcement().load();
      if (isNews(load, follower.sent.put(id, load))) {
        long incarnation = record.announcement().incarnation();
        loads.add(new DirectoryMessage.UpstreamLoad(id, incarnation, load));
      }
    }
    if (!loads.isEmpty()) {
      send(node, new DirectoryMessage.Loads(loads), output);
    }
  }

  private static boolean isNews(LoadReport load, @Nullable LoadReport sent) {
    return sent == null
        || load.running() != sent.running()
        || load.queued() != sent.queued()
        || Math.abs(load.cacheUsed() - sent.cacheUsed()) >= CACHE_STEP;
  }

  private static void send(String node, DirectoryMessage message, Output output) {
    output.effect(new PeerEffect.SendToPeer(node, message));
  }

  private static final class Follower {
    private final DirectoryMessage.FollowLoads wish;
    private final Instant expiry;
    private final Map<String, LoadReport> sent = new HashMap<>();
    private Instant nextReport = Instant.MIN;

    private Follower(DirectoryMessage.FollowLoads wish, Instant expiry) {
      this.wish = wish;
      this.expiry = expiry;
    }
  }
}
