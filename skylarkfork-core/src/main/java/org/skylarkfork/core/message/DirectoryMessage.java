package org.skylarkfork.core.message;

import java.util.List;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.LoadReport;
import org.skylarkfork.core.upstream.UpstreamRecord;

/** Messages by which daemons disseminate the directory of upstreams. */
public sealed interface DirectoryMessage extends PeerMessage {

  /**
   * Disseminates changed records of upstreams.
   *
   * @param records the newest records of the changed upstreams
   * @param forward whether the receiver has to forward the records to the daemons of its zone
   */
  record Changes(List<UpstreamRecord> records, boolean forward) implements DirectoryMessage {

    /** Copies the records. */
    public Changes {
      records = List.copyOf(records);
    }
  }

  /**
   * Forwards an announcement from the daemon that received it to the daemon that owns the upstream.
   *
   * @param announcement the announcement as the sender received it
   */
  record Heard(Announcement announcement) implements DirectoryMessage {}

  /**
   * Starts an anti-entropy comparison; a receiver whose hash differs answers with {@link
   * BucketHashes}.
   *
   * @param hash hash of all of the sender's live records
   */
  record RootHash(long hash) implements DirectoryMessage {}

  /**
   * Carries the hash of the sender's records in each bucket.
   *
   * @param hashes one hash per bucket, in the order of the buckets
   */
  record BucketHashes(List<Long> hashes) implements DirectoryMessage {

    /** Copies the hashes. */
    public BucketHashes {
      hashes = List.copyOf(hashes);
    }
  }

  /**
   * Lists the versions of the sender's records in some buckets; the receiver answers with its newer
   * records and with {@link Wanted} for those that it lacks.
   *
   * @param buckets indexes of the buckets
   * @param versions versions of all of the sender's records in these buckets
   */
  record BucketVersions(List<Integer> buckets, List<RecordVersion> versions)
      implements DirectoryMessage {

    /** Copies the lists. */
    public BucketVersions {
      buckets = List.copyOf(buckets);
      versions = List.copyOf(versions);
    }
  }

  /**
   * The version of a record, without its content.
   *
   * @param id name of the upstream
   * @param incarnation incarnation number of the upstream's process
   * @param sequence sequence number of the record, rising with each change
   * @param owner node name of the daemon that owns the upstream
   * @param live whether the upstream is considered live
   */
  record RecordVersion(String id, long incarnation, long sequence, String owner, boolean live) {}

  /**
   * Requests the records that the sender lacks or has in an older version.
   *
   * @param ids names of the upstreams
   */
  record Wanted(List<String> ids) implements DirectoryMessage {

    /** Copies the names. */
    public Wanted {
      ids = List.copyOf(ids);
    }
  }

  /**
   * Subscribes to load reports of upstreams at the daemon that owns them. The subscription expires
   * unless the sender repeats it.
   *
   * @param ids names of the upstreams; replaces the list of an earlier subscription of the sender
   * @param everyMillis minimum time between two reports of the same upstream, in milliseconds
   */
  record FollowLoads(List<String> ids, long everyMillis) implements DirectoryMessage {

    /** Copies the names. */
    public FollowLoads {
      ids = List.copyOf(ids);
    }
  }

  /**
   * Reports loads that have changed to a subscriber.
   *
   * @param loads one load for each upstream whose load has changed
   */
  record Loads(List<UpstreamLoad> loads) implements DirectoryMessage {

    /** Copies the loads. */
    public Loads {
      loads = List.copyOf(loads);
    }
  }

  /**
   * The load of one upstream.
   *
   * @param id name of the upstream
   * @param incarnation incarnation number of the upstream's process
   * @param load load that the upstream last announced
   */
  record UpstreamLoad(String id, long incarnation, LoadReport load) {}
}
