package org.skylarkfork.core.order;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.UpstreamKind;

/**
 * View of the engines from their announcements, which are authoritative for the loaded versions.
 *
 * @param engines engines that are neither leaving nor drained
 * @param busy ids of engines with an open order
 * @param hasRefusedRecently whether the engine with the given id refused an order recently
 */
record EngineView(
    List<Announcement> engines, Set<String> busy, Predicate<String> hasRefusedRecently) {

  /** Selects the engines that may receive orders. */
  static EngineView of(
      List<Announcement> all,
      List<String> drained,
      Set<String> busy,
      Predicate<String> hasRefusedRecently) {
    return new EngineView(
        all.stream()
            .filter(one -> one.kind() == UpstreamKind.ENGINE)
            .filter(one -> !one.leaving() && !one.gone() && !drained.contains(one.id()))
            .toList(),
        busy,
        hasRefusedRecently);
  }

  /** Returns whether an engine announces a version as loaded. */
  static boolean hasLoaded(Announcement engine, ModelVersion version) {
    return engine.models().stream()
        .anyMatch(
            loaded ->
                loaded.model().equals(version.model())
                    && loaded.version().equals(version.version()));
  }

  /** Returns the engines that announce a version. */
  List<Announcement> with(ModelVersion version) {
    return engines.stream().filter(engine -> hasLoaded(engine, version)).toList();
  }

  /** Returns the engines that announce one of two versions. */
  List<Announcement> withEither(ModelVersion one, ModelVersion other) {
    return engines.stream()
        .filter(engine -> hasLoaded(engine, one) || hasLoaded(engine, other))
        .toList();
  }

  /**
   * Returns those of the given engines that may load a version. Engines with an open order come
   * first, then those in zones with the fewest engines that have the version.
   */
  List<Announcement> without(ModelVersion version, List<Announcement> among) {
    Map<String, Long> byZone =
        with(version).stream()
            .collect(Collectors.groupingBy(Announcement::zone, Collectors.counting()));
    return among.stream()
        .filter(engine -> !hasLoaded(engine, version))
        .filter(engine -> !hasRefusedRecently.test(engine.id()))
        .sorted(
            Comparator.comparing((Announcement engine) -> !busy.contains(engine.id()))
                .thenComparing(engine -> byZone.getOrDefault(engine.zone(), 0L))
                .thenComparing(Announcement::id))
        .toList();
  }
}
