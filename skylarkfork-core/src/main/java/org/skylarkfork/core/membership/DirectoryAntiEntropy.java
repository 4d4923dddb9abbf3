package org.skylarkfork.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.message.DirectoryMessage;
import org.skylarkfork.core.upstream.UpstreamRecord;
import org.skylarkfork.core.upstream.UpstreamState;

/**
 * Compares the table with those of random daemons, to repair lost changes and fill new tables.
 *
 * <p>Each round compares one hash over the table. If it differs, the daemons exchange the hashes of
 * all buckets, then the record versions in the buckets that differ, and then the differing records.
 */
final class DirectoryAntiEntropy {

  private static final int MAX_BUCKETS_PER_MESSAGE = 32;
  private static final int RECORDS_PER_MESSAGE = 64;
  private static final int FAST_ROUNDS = 10;
  private static final Duration FAST_INTERVAL = Duration.ofMillis(300);

  /** Number of records for which the time between comparisons grows by one base interval. */
  private static final int RECORDS_PER_INTERVAL_STEP = 2000;

  private static final int ANY_ZONE_DIVISOR = 4;

  private final Members members;
  private final DirectorySettings settings;
  private final UpstreamTable table;
  private final UniformRandomProvider random;
  private int fastRounds = FAST_ROUNDS;
  private Instant nextRound = Instant.MIN;

  DirectoryAntiEntropy(
      Members members,
      DirectorySettings settings,
      UpstreamTable table,
      UniformRandomProvider random) {
    this.members = members;
    this.settings = settings;
    this.table = table;
    this.random = random;
  }

  /** Switches to short intervals for some rounds, as after the start or when a member joins. */
  void accelerate() {
    fastRounds = FAST_ROUNDS;
    nextRound = Instant.MIN;
  }

  void tick(Instant now, Output output) {
    if (now.isBefore(nextRound) || members.live().size() < 2) {
      return;
    }
    Duration normal =
        settings.antiEntropyInterval().multipliedBy(1 + table.size() / RECORDS_PER_INTERVAL_STEP);
    nextRound = now.plus(fastRounds > 0 ? FAST_INTERVAL : normal);
    fastRounds = Math.max(0, fastRounds - 1);
    send(randomPeer(), new DirectoryMessage.RootHash(table.rootHash()), output);
  }

  void onRootHash(String node, DirectoryMessage.RootHash root, Output output) {
    if (root.hash() != table.rootHash()) {
      send(node, new DirectoryMessage.BucketHashes(table.bucketHashes()), output);
    }
  }

  void onBucketHashes(String node, DirectoryMessage.BucketHashes theirs, Output output) {
    List<Long> ours = table.bucketHashes();
    List<Integer> differing = new ArrayList<>();
    for (int i = 0; i < Math.min(ours.size(), theirs.hashes().size()); i++) {
      if (!ours.get(i).equals(theirs.hashes().get(i))) {
        differing.add(i);
      }
    }
    Shuffle.inPlace(differing, random);
    List<Integer> buckets =
        differing.subList(0, Math.min(MAX_BUCKETS_PER_MESSAGE, differing.size()));
    List<DirectoryMessage.RecordVersion> versions = new ArrayList<>();
    for (UpstreamRecord record : table.inBuckets(buckets)) {
      versions.add(version(record));
    }
    send(node, new DirectoryMessage.BucketVersions(buckets, versions), output);
  }

  void onBucketVersions(String node, DirectoryMessage.BucketVersions theirs, Output output) {
    Map<String, DirectoryMessage.RecordVersion> missing = new HashMap<>();
    theirs.versions().forEach(version -> missing.put(version.id(), version));
    List<UpstreamRecord> newer = new ArrayList<>();
    List<String> wanted = new ArrayList<>();
    for (UpstreamRecord record : table.inBuckets(theirs.buckets())) {
      DirectoryMessage.RecordVersion version = missing.remove(record.id());
      int order = version == null ? 1 : compare(version(record), version);
      if (order > 0 && (version != null || record.state() == UpstreamState.LIVE)) {
        newer.add(record);
      } else if (order < 0) {
        wanted.add(record.id());
      }
    }
    wanted.addAll(missing.keySet());
    wanted.sort(String::compareTo);
    sendRecords(node, newer, output);
    if (!wanted.isEmpty()) {
      send(node, new DirectoryMessage.Wanted(wanted), output);
    }
  }

  void onWanted(String node, DirectoryMessage.Wanted wanted, Output output) {
    List<UpstreamRecord> records = new ArrayList<>();
    for (String id : wanted.ids()) {
      UpstreamRecord record = table.get(id);
      if (record != null) {
        records.add(record);
      }
    }
    sendRecords(node, records, output);
  }

  private void sendRecords(String node, List<UpstreamRecord> records, Output output) {
    for (int from = 0; from < records.size(); from += RECORDS_PER_MESSAGE) {
      List<UpstreamRecord> page =
          records.subList(from, Math.min(from + RECORDS_PER_MESSAGE, records.size()));
      send(node, new DirectoryMessage.Changes(page, false), output);
    }
  }

  private static int compare(
      DirectoryMessage.RecordVersion one, DirectoryMessage.RecordVersion other) {
    if (one.incarnation() != other.incarnation()) {
      return Long.compare(one.incarnation(), other.incarnation());
    }
    int bySequence = Long.compare(one.sequence(), other.sequence());
    if (bySequence != 0) {
      return bySequence;
    }
    int byOwner = one.owner().compareTo(other.owner());
    return byOwner != 0 ? byOwner : Boolean.compare(one.live(), other.live());
  }

  private static DirectoryMessage.RecordVersion version(UpstreamRecord record) {
    return new DirectoryMessage.RecordVersion(
        record.id(),
        record.announcement().incarnation(),
        record.sequence(),
        record.owner(),
        record.state() == UpstreamState.LIVE);
  }

  private String randomPeer() {
    List<String> sameZone = names(members.liveIn(members.self().zone()));
    boolean sameZoneOnly = !sameZone.isEmpty() && random.nextInt(ANY_ZONE_DIVISOR) != 0;
    List<String> candidates = sameZoneOnly ? sameZone : names(members.live());
    return candidates.get(random.nextInt(candidates.size()));
  }

  private List<String> names(List<Member> of) {
    String self = members.self().name();
    return of.stream().map(Member::name).filter(name -> !name.equals(self)).toList();
  }

  private static void send(String node, DirectoryMessage message, Output output) {
    output.effect(new PeerEffect.SendToPeer(node, message));
  }
}
