package org.skylarkfork.core.waiting;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.PeerEffect.SendToPeer;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.message.SlotMessage.SlotAnswer;
import org.skylarkfork.core.message.SlotMessage.SlotOutcome;
import org.skylarkfork.core.message.SlotMessage.SlotProgress;

/** Sends decisions to the entries, and records them in the log and the metrics. */
final class SlotAnswers implements SlotDecisions {

  private static final double MILLIS_PER_SECOND = 1000;

  private final Instant now;
  private final Output output;

  SlotAnswers(Instant now, Output output) {
    this.now = now;
    this.output = output;
  }

  @Override
  public void granted(SlotCall call, PooledUpstream upstream) {
    answer(call, SlotOutcome.GRANTED, upstream.status().id(), 0, 0);
    long waited = call.waitedMillis(now);
    output.effect(
        new TraceEffect.Observe(
            "relay_slot_wait_seconds", call.ask.service(), waited / MILLIS_PER_SECOND));
    if (call.followUpMillis > 0) {
      waitEnded(call, "GRANTED", " upstream=" + upstream.status().id());
    }
  }

  @Override
  public void queued(SlotCall call, long waitMillis) {
    answer(call, SlotOutcome.QUEUED, null, waitMillis, 0);
  }

  @Override
  public void refused(SlotCall call, long waitMillis, long retryAfterMillis) {
    answer(call, SlotOutcome.REFUSED, null, 0, retryAfterMillis);
    output.effect(new TraceEffect.Count("relay_slot_refusals", call.ask.service(), 1));
    log(
        "event=slot_refused "
            + facts(call)
            + " left_ms="
            + call.leftMillis(now)
            + " wait_ms="
            + waitMillis
            + " retry_after_ms="
            + retryAfterMillis);
  }

  @Override
  public void unknown(SlotCall call) {
    answer(call, SlotOutcome.UNKNOWN_SERVICE, null, 0, 0);
    if (call.followUpMillis > 0) {
      waitEnded(call, "UNKNOWN_SERVICE", "");
    }
  }

  @Override
  public void left(SlotCall call, SlotProgress progress) {
    waitEnded(call, progress.name(), "");
  }

  @Override
  public void limitChanged(PooledUpstream upstream, int before) {
    log(
        "event=slot_limit_changed upstream="
            + upstream.status().id()
            + " before="
            + before
            + " after="
            + upstream.limit()
            + " running="
            + upstream.running());
  }

  private void answer(
      SlotCall call,
      SlotOutcome outcome,
      @Nullable String upstream,
      long waitMillis,
      long retryAfterMillis) {
    output.effect(
        new SendToPeer(
            call.id.entry(),
            new SlotAnswer(
                call.id.number(), outcome, upstream, (int) waitMillis, (int) retryAfterMillis)));
  }

  private void waitEnded(SlotCall call, String outcome, String more) {
    log("event=slot_wait_ended " + facts(call) + " outcome=" + outcome + more);
  }

  private String facts(SlotCall call) {
    return "entry="
        + call.id.entry()
        + " number="
        + call.id.number()
        + " service="
        + call.ask.service()
        + " team="
        + (call.ask.team().isEmpty() ? "-" : call.ask.team())
        + " rank="
        + call.ask.rank()
        + " returning="
        + call.returning
        + " waited_ms="
        + call.waitedMillis(now);
  }

  private void log(String facts) {
    output.effect(new TraceEffect.LogLine(false, "slots", facts));
  }
}
