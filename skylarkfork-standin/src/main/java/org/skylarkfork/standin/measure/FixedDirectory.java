package org.skylarkfork.standin.measure;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.LoadReport;
import org.skylarkfork.core.upstream.LoadedModel;
import org.skylarkfork.core.upstream.UpstreamDirectory;
import org.skylarkfork.core.upstream.UpstreamKind;

/** A directory with one engine for each version that is asked for. */
public final class FixedDirectory implements UpstreamDirectory {

  @Override
  public List<Announcement> engines(ModelVersion version, Instant now) {
    return List.of(
        new Announcement(
            "engine-" + version,
            1,
            "127.0.0.1",
            9000,
            "wien-halle",
            UpstreamKind.ENGINE,
            null,
            List.of(new LoadedModel(version.model(), version.version(), List.of())),
            "mixed",
            16,
            LoadReport.IDLE,
            true,
            false,
            false,
            List.of()));
  }

  @Override
  public List<Announcement> services(String service, Instant now) {
    return List.of();
  }

  @Override
  public Optional<Announcement> find(String id) {
    return Optional.empty();
  }

  @Override
  public List<Announcement> all() {
    return List.of();
  }
}
