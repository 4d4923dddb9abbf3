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

/**
 * Sends load reports of owned upstreams to subscribed daemons and subscribes to those of other
 * owners.
 */
final class LoadSubscriptions {

  private static final Duration SUBSCRIPTION_RENEWAL_INTERVAL = Duration.ofSeconds(20);
  private static final Duration SUBSCRIPTION_CHECK_INTERVAL = Duration.ofSeconds(1);
  private static final Duration SUBSCRIPTION_LIFETIME = Duration.ofSeconds(60);

  /** Approximate encoded size of one load report in bytes. */
  private static final int LOAD_BYTES = 110;

  /** Minimum change of the prefix cache's usage that is reported. */
  private static final double MIN_CACHE_CHANGE = 0.1;

  private final Members members;
  private final DirectorySettings settings;
  private final UpstreamTable table;
  private final Map<String, Subscriber> subscribers = new TreeMap<>();
  private Map<String, Set<String>> subscriptions = Map.of();
  private Instant nextCheck = Instant.MIN;
  private Instant nextRenewal = Instant.MIN;

  LoadSubscriptions(Members members, DirectorySettings settings, UpstreamTable table) {
    this.members = members;
    this.settings = settings;
    this.table = table;
  }

  void onSubscription(String node, DirectoryMessage.FollowLoads request, Instant now) {
    Subscriber known = subscribers.get(node);
    Subscriber subscriber = new Subscriber(request, now.plus(SUBSCRIPTION_LIFETIME));
    if (known != null) {
      subscriber.sent.putAll(known.sent);
      subscriber.sent.keySet().retainAll(request.ids());
    }
    subscribers.put(node, subscriber);
  }

  void onLoads(DirectoryMessage.Loads loads) {
    for (DirectoryMessage.UpstreamLoad load : loads.loads()) {
      UpstreamRecord known = table.get(load.id());
      if (known != null && known.announcement().incarnation() == load.incarnation()) {
        table.putLoad(load.id(), load.load());
      }
    }
  }

  void tick(Instant now, Output output) {
    if (!now.isBefore(nextCheck)) {
      nextCheck = now.plus(SUBSCRIPTION_CHECK_INTERVAL);
      subscribeToOwners(now, output);
    }
    for (Iterator<Map.Entry<String, Subscriber>> it = subscribers.entrySet().iterator();
        it.hasNext(); ) {
      Map.Entry<String, Subscriber> entry = it.next();
      Subscriber subscriber = entry.getValue();
      if (!now.isBefore(subscriber.expiry)) {
        it.remove();
      } else if (!now.isBefore(subscriber.nextReport)) {
        report(entry.getKey(), subscriber, now, output);
      }
    }
  }

  private void subscribeToOwners(Instant now, Output output) {
    Map<String, Set<String>> byOwner = new TreeMap<>();
    int count = 0;
    for (String id : table.usedIds()) {
      UpstreamRecord record = table.get(id);
      if (record != null && !record.owner().equals(members.self().name())) {
        byOwner.computeIfAbsent(record.owner(), owner -> new TreeSet<>()).add(id);
        count++;
      }
    }
    boolean renew = !now.isBefore(nextRenewal);
    long sustainableMillis = 1000L * LOAD_BYTES * count / settings.maxLoadBytesPerSecond();
    long intervalMillis = Math.max(settings.loadReportInterval().toMillis(), sustainableMillis);
    for (Map.Entry<String, Set<String>> entry : byOwner.entrySet()) {
      if (renew || !entry.getValue().equals(subscriptions.get(entry.getKey()))) {
        List<String> ids = List.copyOf(entry.getValue());
        send(entry.getKey(), new DirectoryMessage.FollowLoads(ids, intervalMillis), output);
      }
    }
    subscriptions = byOwner;
    if (renew) {
      nextRenewal = now.plus(SUBSCRIPTION_RENEWAL_INTERVAL);
    }
  }

  private void report(String node, Subscriber subscriber, Instant now, Output output) {
    subscriber.nextReport = now.plusMillis(subscriber.request.everyMillis());
    List<DirectoryMessage.UpstreamLoad> loads = new ArrayList<>();
    for (String id : subscriber.request.ids()) {
      UpstreamRecord record = table.get(id);
      boolean ownedHere = record != null && record.owner().equals(members.self().name());
      if (!ownedHere || record.state() != UpstreamState.LIVE) {
        continue;
      }
      LoadReport load = record.announcement().load();
      if (isSignificantChange(load, subscriber.sent.put(id, load))) {
        long incarnation = record.announcement().incarnation();
        loads.add(new DirectoryMessage.UpstreamLoad(id, incarnation, load));
      }
    }
    if (!loads.isEmpty()) {
      send(node, new DirectoryMessage.Loads(loads), output);
    }
  }

  private static boolean isSignificantChange(LoadReport load, @Nullable LoadReport sent) {
    return sent == null
        || load.running() != sent.running()
        || load.queued() != sent.queued()
        || Math.abs(load.cacheUsed() - sent.cacheUsed()) >= MIN_CACHE_CHANGE;
  }

  private static void send(String node, DirectoryMessage message, Output output) {
    output.effect(new PeerEffect.SendToPeer(node, message));
  }

  private static final class Subscriber {
    private final DirectoryMessage.FollowLoads request;
    private final Instant expiry;
    private final Map<String, LoadReport> sent = new HashMap<>();
    private Instant nextReport = Instant.MIN;

    private Subscriber(DirectoryMessage.FollowLoads request, Instant expiry) {
      this.request = request;
      this.expiry = expiry;
    }
  }
}
