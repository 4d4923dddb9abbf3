package org.skylarkfork.runtime.http;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.event.UpstreamEvent.AttemptStage;
import org.skylarkfork.runtime.limits.AnswerBuffers;
import reactor.core.Disposable;
import reactor.core.Disposables;

/** One attempt on its way: how far it got, and that it ends exactly once. */
final class UpstreamCall {

  private final String attemptId;
  private final Consumer<Event> events;
  private final AtomicReference<AttemptStage> stage =
      new AtomicReference<>(AttemptStage.BEFORE_CONNECT);
  private final AtomicBoolean ended = new AtomicBoolean();
  private final HeldAnswer held;
  private final Disposable.Swap connection = Disposables.swap();

  /**
   * Creates an attempt that isn't sent yet.
   *
   * @param attemptId id of the attempt
   * @param events takes what comes of it
   * @param answers limits on all answers
   */
  UpstreamCall(String attemptId, Consumer<Event> events, AnswerBuffers answers) {
    this.attemptId = attemptId;
    this.events = events;
    this.held = new HeldAnswer(answers, this::giveUp);
  }

  private void giveUp() {
    fail("all answers together take too much memory");
    connection.dispose();
  }

  /**
   * Records how much of the answer is held.
   *
   * @param bytes the size, in bytes
   */
  void holds(int bytes) {
    held.resize(bytes);
  }

  String attemptId() {
    return attemptId;
  }

  /** Notes that the attempt got as far as this; it never goes back. */
  void reached(AttemptStage newStage) {
    stage.accumulateAndGet(newStage, (old, next) -> next.ordinal() > old.ordinal() ? next : old);
  }

  /** Keeps what cancels the connection. */
  void connection(Disposable disposable) {
    connection.update(disposable);
  }

  /** Tells the reducer something of an attempt that goes on. */
  void tell(UpstreamEvent event) {
    if (!ended.get()) {
      events.accept(event);
    }
  }

  /** Tells the reducer how the attempt ended; only the first end counts. */
  void end(UpstreamEvent event) {
    if (ended.compareAndSet(false, true)) {
      held.release();
      events.accept(event);
    }
  }

  /** Ends the attempt as failed at the stage that it had reached. */
  void fail(String detail) {
    end(new UpstreamEvent.AttemptFailed(attemptId, stage.get(), detail));
  }

  /** Ends the attempt as failed at a stage that the upstream stated. */
  void fail(AttemptStage stated, String detail) {
    end(new UpstreamEvent.AttemptFailed(attemptId, stated, detail));
  }

  /**
   * Gives the attempt up without an event.
   *
   * @return false if it had ended before
   */
  boolean cancel() {
    boolean first = ended.compareAndSet(false, true);
    held.release();
    connection.dispose();
    return first;
  }
}
