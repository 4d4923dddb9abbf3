package org.skylarkfork.core.membership;

import java.util.List;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.LoadReport;
import org.skylarkfork.core.upstream.LoadedModel;
import org.skylarkfork.core.upstream.UpstreamKind;

/** Creates announcements for tests. */
final class Announcements {

  static final ModelVersion RULING = new ModelVersion("ruling", "1");

  private Announcements() {}

  static Announcement engine(String id, long incarnation, int port) {
    return engine(id, incarnation, port, false, false, 0);
  }

  static Announcement engine(
      String id, long incarnation, int port, boolean leaving, boolean gone, int running) {
    return new Announcement(
        id,
        incarnation,
        "127.0.0.9",
        port,
        "utrecht-a",
        UpstreamKind.ENGINE,
        null,
        List.of(new LoadedModel(RULING.model(), RULING.version(), List.of())),
        "mixed",
        8,
        new LoadReport(running, 0, 0.0, 0),
        true,
        leaving,
        gone,
        List.of());
  }
}
