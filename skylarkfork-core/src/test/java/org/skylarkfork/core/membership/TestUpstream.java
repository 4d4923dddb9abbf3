package org.skylarkfork.core.membership;

import java.time.Instant;
import org.skylarkfork.core.upstream.Announcement;

/** An engine that announces itself to the entries of a {@link TestNetwork}. */
final class TestUpstream {

  final String id;
  final int port;
  long incarnation;
  int entry;
  boolean leaving;
  boolean gone;
  int running;
  Instant nextAnnouncement = Instant.MIN;

  TestUpstream(String id, long incarnation, int port, int entry) {
    this.id = id;
    this.incarnation = incarnation;
    this.port = port;
    this.entry = entry;
  }

  Announcement announcement() {
    return Announcements.engine(id, incarnation, port, leaving, gone, running);
  }
}
