package org.skylarkfork.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.configuration.Limits;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.event.AdmissionEvent;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.RequestKind;

/** Hands requests to an admission and ends each a set time after its start. */
final class AdmissionSimulation implements Output {

  final Admission admission;
  final Map<String, RoutingError> refused = new HashMap<>();
  final Map<String, Duration> waits = new HashMap<>();
  final List<String> started = new ArrayList<>();
  final Map<String, Long> usedTokens = new HashMap<>();
  private final Map<String, Instant> submittedAt = new HashMap<>();
  private final Duration runTime;
  private final PriorityQueue<End> ends = new PriorityQueue<>();
  Instant now = Instant.ofEpochSecond(1_000_000);

  private record End(Instant at, String id) implements Comparable<End> {
    @Override
    public int compareTo(End other) {
      int byTime = at.compareTo(other.at);
      return byTime != 0 ? byTime : id.compareTo(other.id);
    }
  }

  AdmissionSimulation(Admission admission, Duration runTime) {
    this.admission = admission;
    this.runTime = runTime;
  }

  static Team team(String name, Limits limits, int weight) {
    return new Team(name, List.of(), List.of(), List.of(), limits, weight);
  }

  Admission.Decision submit(String id, Team team, String service, int priority, Duration timeout) {
    boolean draft = service.isEmpty();
    CallerRequest request =
        new CallerRequest(
            id,
            "",
            draft ? RequestKind.CHAT : RequestKind.SERVICE,
            "",
            service,
            "GET",
            "",
            List.of(),
            "",
            Bytes.EMPTY,
            50,
            50,
            false,
            priority,
            null,
            null,
            null,
            now.plus(timeout),
            null);
    submittedAt.put(id, now);
    Admission.Result result = admission.submit(request, team, priority, now);
    if (result.decision() == Admission.Decision.ADMITTED) {
      start(id);
    } else if (result.decision() == Admission.Decision.REFUSED) {
      refused.put(id, result.error());
    }
    apply(new LifecycleEvent.Started());
    return result.decision();
  }

  private void start(String id) {
    started.add(id);
    waits.put(id, Duration.between(submittedAt.get(id), now));
    ends.add(new End(now.plus(runTime), id));
  }

  private void apply(Event event) {
    ((Part) admission).apply(event, now, this);
  }

  /** Lets time pass in steps of a tick, and ends what is due. */
  void advance(Duration time) {
    Instant until = now.plus(time);
    while (now.isBefore(until)) {
      now = now.plusMillis(20);
      while (!ends.isEmpty() && !ends.peek().at.isAfter(now)) {
        String id = ends.poll().id;
        admission.release(id, usedTokens.getOrDefault(id, 100L), now);
      }
      apply(new LifecycleEvent.Tick());
    }
  }

  @Override
  public void effect(Effect effect) {
    // Metrics are not looked at.
  }

  @Override
  public void raise(Event event) {
    if (event instanceof AdmissionEvent.Admitted admitted) {
      start(admitted.requestId());
    } else if (event instanceof AdmissionEvent.WaitRefused wait) {
      refused.put(wait.requestId(), wait.error());
    }
  }

  /** Returns a percentile of the waits of requests whose ids begin so, in milliseconds. */
  long wait(String prefix, double percentile) {
    List<Long> sorted =
        waits.entrySet().stream()
            .filter(each -> each.getKey().startsWith(prefix))
            .map(each -> each.getValue().toMillis())
            .sorted()
            .toList();
    return sorted.get((int) Math.ceil(percentile / 100 * sorted.size()) - 1);
  }
}
