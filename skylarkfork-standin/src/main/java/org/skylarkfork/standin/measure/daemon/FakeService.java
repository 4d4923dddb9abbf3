package org.skylarkfork.standin.measure.daemon;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.skylarkfork.core.effect.UpstreamEffect.DispatchCall;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.event.UpstreamEvent.AttemptStage;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.LoadReport;
import org.skylarkfork.core.upstream.UpstreamKind;

/** A server of a plain service with workers, a bounded queue and random run times. */
final class FakeService implements FakeUpstream {

  private static final int MOST_QUEUED = 500;
  private static final double LOST_SHARE = 0.05;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final int OK = 200;

  private final ServiceSpec spec;
  private final Surroundings around;
  private final Deque<DispatchCall> queue = new ArrayDeque<>();
  private final Set<String> cancelled = new HashSet<>();
  private final UpstreamFaults faults = new UpstreamFaults();
  private int running;
  private LoadReport load = LoadReport.IDLE;

  FakeService(ServiceSpec spec, Surroundings around) {
    this.spec = spec;
    this.around = around;
  }

  @Override
  public String id() {
    return spec.id();
  }

  @Override
  public UpstreamFaults faults() {
    return faults;
  }

  /** Takes a call, or says that it does not. */
  void dispatch(DispatchCall call) {
    if (faults.gone) {
      fail(call, AttemptStage.BEFORE_CONNECT);
    } else if (faults.refusing || queue.size() >= MOST_QUEUED) {
      fail(call, AttemptStage.REFUSED_NOT_STARTED);
    } else if (!faults.silent) {
      queue.add(call);
      startNext();
    }
  }

  /** Forgets a call that still waits; one that runs goes on, as a server's work does. */
  void cancel(String attemptId) {
    if (!queue.removeIf(call -> call.attemptId().equals(attemptId))) {
      cancelled.add(attemptId);
    }
  }

  private void fail(DispatchCall call, AttemptStage stage) {
    around.daemon().accept(new UpstreamEvent.AttemptFailed(call.attemptId(), stage, "as planned"));
  }

  private void startNext() {
    while (running < spec.capacity() && !queue.isEmpty()) {
      DispatchCall call = queue.removeFirst();
      running++;
      around.scores().started(call.request().requestId());
      around.scores().ran(around.ask(call.request().requestId()));
      double millis = -Math.log(1 - around.random().nextDouble()) * spec.meanMillis();
      long micros = Math.round(millis * faults.slowness * MICROS_PER_MILLI);
      around.time().after(Math.max(1, micros), () -> answer(call));
    }
  }

  private void answer(DispatchCall call) {
    running--;
    startNext();
    if (faults.silent || cancelled.remove(call.attemptId())) {
      return;
    }
    if (faults.cutting && around.random().nextDouble() < LOST_SHARE) {
      fail(call, AttemptStage.WRITTEN);
      return;
    }
    UpstreamEvent answered =
        new UpstreamEvent.ServiceAnswered(
            call.attemptId(), call.request().requestId(), OK, List.of(), Bytes.ofText("done"));
    around.daemon().accept(answered);
    if (faults.crossing) {
      around.daemon().accept(answered);
    }
  }

  @Override
  public void lookAtLoad() {
    load = new LoadReport(running, queue.size(), 0, 0);
  }

  @Override
  public Announcement announcement() {
    return new Announcement(
        spec.id(),
        1,
        "127.0.0.1",
        around.port(spec.id()),
        spec.zone(),
        UpstreamKind.SERVICE,
        spec.service(),
        List.of(),
        "mixed",
        spec.capacity(),
        load,
        true,
        faults.leaving,
        faults.gone,
        List.of());
  }
}
