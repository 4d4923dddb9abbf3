package org.skylarkfork.core.attempt;

import java.time.Instant;
import java.util.List;
import java.util.function.Predicate;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.crash.CrashReview;
import org.skylarkfork.core.crash.PartObservers;
import org.skylarkfork.core.crash.QuarantineList;
import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.ConfigurationEvent;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.message.CrashMessage;

/**
 * Reviews crashing requests on a voter: collects the reports of all entries and, while this voter
 * leads, proposes quarantines as configuration changes.
 */
public final class CrashReviewPart implements Part {

  private final ConfigurationView configuration;
  private final Predicate<Instant> isLeader;
  private final CrashReview review;
  private List<RequestKey> quarantined = List.of();

  /**
   * Creates the part.
   *
   * @param configuration the configuration in force
   * @param isLeader whether this daemon leads the configuration group at a given time
   * @param observers the daemons that are asked about suspected parts of prompts
   */
  public CrashReviewPart(
      ConfigurationView configuration, Predicate<Instant> isLeader, PartObservers observers) {
    this.configuration = configuration;
    this.isLeader = isLeader;
    this.review = new CrashReview(new ConfiguredQuarantine(), observers);
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof PeerEvent.MessageReceived received) {
      onMessage(received, now, output);
    } else if (event instanceof LifecycleEvent.Tick) {
      applyQuarantineChanges(now);
      if (isLeader.test(now)) {
        review.tick(now, output);
      }
    }
  }

  private void onMessage(PeerEvent.MessageReceived received, Instant now, Output output) {
    if (received.message() instanceof CrashMessage.UpstreamEnded ended) {
      review.onUpstreamEnded(ended, now);
    } else if (received.message() instanceof CrashMessage.RequestServed served) {
      review.onRequestServed(served.key(), now);
    } else if (received.message() instanceof CrashMessage.PartsObserved observed) {
      review.onPartsObserved(received.node(), observed, now, output);
    }
  }

  private void applyQuarantineChanges(Instant now) {
    List<RequestKey> current = configuration.current().quarantined();
    if (current == quarantined) {
      return;
    }
    current.stream().filter(key -> !quarantined.contains(key)).forEach(review::onQuarantined);
    quarantined.stream()
        .filter(key -> !current.contains(key))
        .forEach(key -> review.onLifted(key, now));
    quarantined = current;
  }

  /** The quarantine list of the current configuration. */
  private final class ConfiguredQuarantine implements QuarantineList {

    @Override
    public List<RequestKey> keys() {
      return configuration.current().quarantined();
    }

    @Override
    public void refuse(RequestKey key, Instant now, Output output) {
      propose(new ConfigurationChange.QuarantineRequest(key), "quarantine-" + key, now, output);
    }

    @Override
    public void lift(RequestKey key, Instant now, Output output) {
      propose(new ConfigurationChange.LiftQuarantine(key), "lift-" + key, now, output);
    }

    private void propose(ConfigurationChange change, String id, Instant now, Output output) {
      output.effect(new TraceEffect.LogLine(true, "crash", "event=crash_review asks=" + change));
      String changeId = id + "-" + now.toEpochMilli();
      output.raise(new ConfigurationEvent.ChangeProposed(changeId, "crash-review", change));
    }
  }
}
