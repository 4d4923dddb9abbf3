package org.skylarkfork.core.message;

import java.util.List;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.LoadReport;
import org.skylarkfork.core.upstream.UpstreamRecord;

/** Messages by which daemons spread what they know of upstreams. */
public sealed interface DirectoryMessage extends PeerMessage {

  /**
   * Passes on changes of upstreams.
   *
   * @param records the newest records of the changed upstreams
   * @param forward whether the receiver is to pass them on to the daemons of its zone
   */
  record Changes(List<UpstreamRecord> records, boolean forward) implements DirectoryMessage {

    /** Copies the records. */
    public Changes {
      records = List.copyOf(records);
    }
  }

  /**
   * Passes an announcement on to the daemon that speaks for the upstream.
   *
   * @param announcement the announcement as the sender heard it
   */
  record Heard(Announcement announcement) implements DirectoryMessage {}

  /**
   * Starts a comparison; answered by {@link BucketHashes} if the receiver knows other things.
   *
   * @param hash hash of all live records
   */
  record RootHash(long hash) implements DirectoryMessage {}

  /**
   * Names what the sender's records look like in each bucket.
   *
   * @param hashes one hash a bucket
   */
  record BucketHashes(List<Long> hashes) implements DirectoryMessage {

    /** Copies the hashes. */
    public BucketHashes {
      hashes = List.copyOf(hashes);
    }
  }

  /**
   * Lists the sender's records of some buckets; answered with newer ones and {@link Wanted}.
   *
   * @param buckets numbers of the buckets
   * @param versions what the sender has in them
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
   * Tells how new a record is.
   *
   * @param id name of the upstream
   * @param incarnation number of its process
   * @param sequence number of the record
   * @param owner name of the daemon that speaks for the upstream
   * @param live whether the upstream counts as there
   */
  record RecordVersion(String id, long incarnation, long sequence, String owner, boolean live) {}

  /**
   * Asks for records that the sender lacks.
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
   * Asks the daemon that speaks for upstreams for their loads, for a while.
   *
   * @param ids names of the upstreams; replaces an earlier list
   * @param everyMillis shortest time between two reports of an upstream, in milliseconds
   */
  record FollowLoads(List<String> ids, long everyMillis) implements DirectoryMessage {

    /** Copies the names. */
    public FollowLoads {
      ids = List.copyOf(ids);
    }
  }

  /**
   * Tells loads that have changed.
   *
   * @param loads one for each upstream concerned
   */
  record Loads(List<UpstreamLoad> loads) implements DirectoryMessage {

    /** Copies the loads. */
    public Loads {
      loads = List.copyOf(loads);
    }
  }

  /**
   * The load of an upstream.
   *
   * @param id name of the upstream
   * @param incarnation number of its process
   * @param load what it said of its load
   */
  record UpstreamLoad(String id, long incarnation, LoadReport load) {}
}
