package org.skylarkfork.runtime.node;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.configuration.Model;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.membership.EntryListing;
import org.skylarkfork.runtime.http.BadRequestException;
import org.skylarkfork.runtime.http.EdgeQueries;
import org.skylarkfork.runtime.http.ModelList;
import org.skylarkfork.runtime.loop.ReducerLoop;

/** Answers the questions of the callers' listener from the state of the parts. */
final class NodeQueries implements EdgeQueries {

  private final ReducerLoop loop;
  private @Nullable ConfigurationView configuration;
  private @Nullable EntryListing listing;
  private Supplier<Duration> announceEvery = () -> Duration.ofSeconds(1);

  NodeQueries(ReducerLoop loop) {
    this.loop = loop;
  }

  /** Gives the parts to ask; called once before the loop starts. */
  void attach(
      ConfigurationView newConfiguration,
      EntryListing newListing,
      Supplier<Duration> newAnnounceEvery) {
    announceEvery = newAnnounceEvery;
    configuration = newConfiguration;
    listing = newListing;
  }

  private ConfigurationView configuration() {
    if (configuration == null) {
      throw new IllegalStateException("the parts are attached before the loop starts");
    }
    return configuration;
  }

  private EntryListing listing() {
    if (listing == null) {
      throw new IllegalStateException("the parts are attached before the loop starts");
    }
    return listing;
  }

  @Override
  public CompletableFuture<ModelList> models(String keyHash) {
    return loop.ask(now -> models(configuration(), keyHash));
  }

  private static ModelList models(ConfigurationView view, String keyHash) {
    Team team =
        view.teamByKeyHash(keyHash)
            .orElseThrow(
                () ->
                    new BadRequestException(
                        RoutingError.notRun(
                            ErrorKind.UNAUTHORIZED,
                            "The key is unknown. Ask an operator for a key of your team.")));
    Configuration current = view.current();
    List<ModelList.Item> items = new ArrayList<>();
    for (Model model : current.models()) {
      List<String> versions =
          model.versions().stream()
              .map(version -> new ModelVersion(model.name(), version.name()))
              .filter(version -> team.allows(version) && !current.isWithdrawn(version))
              .map(ModelVersion::version)
              .toList();
      if (!versions.isEmpty()) {
        items.add(ModelList.Item.of(model.name(), versions));
      }
    }
    return ModelList.of(items);
  }

  @Override
  public CompletableFuture<Object> entries() {
    return loop.ask(now -> listing().entries(now));
  }

  @Override
  public CompletableFuture<Long> announceMillis() {
    return loop.ask(now -> announceEvery.get().toMillis());
  }

  @Override
  public CompletableFuture<Readiness> readiness() {
    return loop.ask(this::readiness);
  }

  private Readiness readiness(Instant now) {
    boolean ready = listing().acceptsNewWork(now);
    String reason = ready ? "" : "no valid configuration lease, or stopping";
    return new Readiness(ready, reason, configuration().current().revision());
  }
}
