package org.skylarkfork.core.upstream;

/**
 * The newest known state of an upstream, in the form in which daemons disseminate it.
 *
 * @param announcement newest announcement of the upstream, without its cache events
 * @param owner node name of the upstream's owner, the daemon that receives its announcements and
 *     disseminates its record
 * @param ownerIncarnation incarnation number of the owner's process
 * @param sequence sequence number of the record, rising with each change, also across changes of
 *     the owner
 * @param state whether the upstream is live, lost or gone
 */
public record UpstreamRecord(
    Announcement announcement,
    String owner,
    long ownerIncarnation,
    long sequence,
    UpstreamState state) {

  /** Returns the name of the upstream. */
  public String id() {
    return announcement.id();
  }

  /**
   * Returns whether this record is newer than another one of the same upstream: by incarnation,
   * then sequence number, then the owner's name.
   */
  public boolean isNewerThan(UpstreamRecord other) {
    if (announcement.incarnation() != other.announcement.incarnation()) {
      return announcement.incarnation() > other.announcement.incarnation();
    }
    if (sequence != other.sequence) {
      return sequence > other.sequence;
    }
    return owner.compareTo(other.owner) > 0;
  }

  /** Returns a copy with another announcement. */
  public UpstreamRecord with(Announcement other) {
    return new UpstreamRecord(other, owner, ownerIncarnation, sequence, state);
  }

  /** Returns a copy with another state. */
  public UpstreamRecord with(UpstreamState other) {
    return new UpstreamRecord(announcement, owner, ownerIncarnation, sequence, other);
  }

  /**
   * Returns whether the upstream is live and accepts new work. A drain is not part of the record,
   * so the result is true for drained upstreams too.
   */
  public boolean acceptsWork() {
    return state == UpstreamState.LIVE && !announcement.leaving();
  }
}
