package org.skylarkfork.core.admission;

import java.time.Instant;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.event.AdmissionEvent;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.request.CallerRequest;

/**
 * One bounded queue for all requests in the order of their arrival: the baseline that fair shares,
 * lanes and early refusal are measured against.
 */
public final class FifoAdmission implements Admission, Part {

  private static final long RETRY_MILLIS = 1000;

  private final int slots;
  private final int maxWaiting;
  private final Map<String, Instant> waiting = new LinkedHashMap<>();
  private final Set<String> running = new HashSet<>();

  /**
   * Makes a queue.
   *
   * @param slots requests that run at the same time
   * @param maxWaiting requests that wait at the same time
   */
  public FifoAdmission(int slots, int maxWaiting) {
    this.slots = slots;
    this.maxWaiting = maxWaiting;
  }

  @Override
  public Result submit(CallerRequest request, Team team, int priority, Instant now) {
    if (running.size() < slots && waiting.isEmpty()) {
      running.add(request.requestId());
      return new Result(Decision.ADMITTED, null);
    }
    if (waiting.size() >= maxWaiting) {
      String message = "The queue is full. Send the request again later.";
      RoutingError error = RoutingError.notRunRetry(ErrorKind.NO_CAPACITY, message, RETRY_MILLIS);
      return new Result(Decision.REFUSED, error);
    }
    waiting.put(request.requestId(), request.deadline());
    return new Result(Decision.WAITING, null);
  }

  @Override
  public void release(String requestId, long tokens, Instant now) {
    waiting.remove(requestId);
    running.remove(requestId);
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    var queue = waiting.entrySet().iterator();
    while (running.size() < slots && queue.hasNext()) {
      Map.Entry<String, Instant> next = queue.next();
      queue.remove();
      if (next.getValue().isAfter(now)) {
        running.add(next.getKey());
        output.raise(new AdmissionEvent.Admitted(next.getKey()));
      } else {
        String message = "The deadline passed while the request waited. Send it again later.";
        RoutingError error = RoutingError.notRun(ErrorKind.DEADLINE, message);
        output.raise(new AdmissionEvent.WaitRefused(next.getKey(), error));
      }
    }
  }
}
