package org.skylarkfork.core.upstream;

/**
 * The newest that is known of an upstream, as daemons pass it on.
 *
 * @param announcement what the upstream last said; cache events are left out
 * @param owner name of the daemon that hears the upstream and speaks for it
 * @param ownerIncarnation number of that daemon's process
 * @param sequence rises with each change, over changes of the owner too
 * @param state whether the upstream is there
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

  /** Returns whether this says more recent things of the same upstream than the other does. */
  public boolean isNewerThan(UpstreamRecord other) {
    if (announcement.incarnation() != other.announcement.incarnation()) {
      return announcement.incarnation() > other.announcement.incarnation();
    }
    if (sequence != other.sequence) {
      return sequence > other.sequence;
    }
    return owner.compareTo(other.owner) > 0;
  }

  /** Returns this with another announcement. */
  public UpstreamRecord with(Announcement other) {
    return new UpstreamRecord(other, owner, ownerIncarnation, sequence, state);
  }

  /** Returns this in another state. */
  public UpstreamRecord with(UpstreamState other) {
    return new UpstreamRecord(announcement, owner, ownerIncarnation, sequence, other);
  }

  /** Returns whether the upstream is there and takes new work, drained ones included. */
  public boolean acceptsWork() {
    return state == UpstreamState.LIVE && !announcement.leaving();
  }
}
