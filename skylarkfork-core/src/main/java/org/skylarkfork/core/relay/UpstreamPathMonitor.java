package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.message.RelayMessage.ForwardedBackoff;
import org.skylarkfork.core.reachability.PathState;
import org.skylarkfork.core.reachability.UpstreamPaths;

/** Keeps an entry's paths to the upstreams of its directory up to date, and forwards for others. */
final class UpstreamPathMonitor {

  private final UpstreamPaths paths;
  private final UpstreamDirectory directory;
  private int probes;

  UpstreamPathMonitor(UpstreamPaths paths, UpstreamDirectory directory) {
    this.paths = paths;
    this.directory = directory;
  }

  /**
   * Returns whether this entry opens a connection to the upstream at an address for another one.
   */
  ForwardDecision decideForward(String address, Instant now) {
    TrackedUpstream upstream = directory.upstreamAt(address);
    if (upstream == null) {
      return ForwardDecision.REJECTED;
    }
    if (paths.state(upstream.instance().service()) != PathState.DIRECT) {
      return ForwardDecision.UNUSABLE;
    }
    boolean acceptsWork =
        !upstream.condition().rejectsNewWork() && !upstream.backoff().isActive(now);
    return acceptsWork ? ForwardDecision.ALLOWED : ForwardDecision.REJECTED;
  }

  /** Records the outcome of a connection, and asks another entry if the links seem to be cut. */
  void onConnected(
      RelayEvent.UpstreamConnected connected, int forwarders, Instant now, Output output) {
    UpstreamInstance upstream = connected.upstream();
    String service = upstream.service();
    List<TrackedUpstream> all = directory.upstreams(service);
    boolean changed =
        paths.recordConnect(
            service, upstream.id(), connected.forwarder(), connected.outcome(), all.size(), now);
    if (changed) {
      all.forEach(TrackedUpstream::forgetFailures);
      logPath(connected, forwarders, output);
    }
    if (changed && paths.state(service) == PathState.SUSPECTED) {
      String forwarder = paths.forwarder(service, now);
      if (forwarder != null) {
        output.effect(new RelayEffect.ProbePath(upstream, forwarder));
      }
    }
  }

  /**
   * Applies a backoff that an upstream asked for over a connection of this entry, which the
   * upstream can't tell from this entry's own requests.
   */
  void onForwardedBackoff(ForwardedBackoff requested, Instant now, Output output) {
    TrackedUpstream upstream = directory.upstream(requested.upstream().id());
    if (upstream != null && upstream.instance().run().equals(requested.upstream())) {
      upstream.backoff().extend(Duration.ofMillis(requested.backoffMillis()), now);
      output.effect(new RelayEffect.RecallUnsent(upstream.instance()));
    }
  }

  private void logPath(RelayEvent.UpstreamConnected connected, int forwarders, Output output) {
    String service = connected.upstream().service();
    PathState state = paths.state(service);
    String facts =
        "event=upstream_path_changed service="
            + service
            + " state="
            + state
            + " upstream="
            + connected.upstream().id()
            + " outcome="
            + connected.outcome()
            + " forwarder="
            + (connected.forwarder() == null ? "-" : connected.forwarder())
            + " forwarders="
            + forwarders;
    boolean warning = state != PathState.DIRECT;
    output.effect(new TraceEffect.LogLine(warning, "relay", facts));
    output.effect(new TraceEffect.Count("relay_path_changes", state.name(), 1));
  }

  /** Probes the upstreams whose links are suspected. */
  void tick(Instant now, Output output) {
    paths
        .takeProbes(now)
        .forEach(
            (service, count) -> {
              List<TrackedUpstream> ready =
                  directory.upstreams(service).stream()
                      .filter(upstream -> upstream.condition() == UpstreamCondition.READY)
                      .toList();
              for (int probe = 0; probe < Math.min(count, ready.size()); probe++) {
                UpstreamInstance upstream = ready.get(probes++ % ready.size()).instance();
                output.effect(new RelayEffect.ProbePath(upstream, null));
              }
            });
  }
}
