package org.skylarkfork.runtime.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.RelayCommand;
import org.skylarkfork.core.consensus.GroupStatus;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.relay.LimitedUpstream;
import org.skylarkfork.core.relay.RelayControlPart;
import org.skylarkfork.core.relay.UpstreamInstance;
import org.skylarkfork.core.upstream.UpstreamRun;
import org.skylarkfork.runtime.loop.EventLoopReducer;

/** Calls to a control VM that wait for the reducer's reply; confined to one thread. */
final class PendingControlCalls implements ControlCalls {

  /** Timeout of a call; callers try another control VM after a second. */
  private static final long TIMEOUT_MILLIS = 900;

  private final EventLoopReducer loop;
  private final RelayControlPart control;
  private final List<String> zones;
  private final Map<Long, CompletableFuture<CommandResult>> pending = new HashMap<>();
  private long lastCall;

  /**
   * Creates an empty set of pending calls.
   *
   * @param loop receives the events
   * @param control the part that answers queries about the group, limits and entries
   * @param zones the deployment's availability zones; empty if they aren't known
   */
  PendingControlCalls(EventLoopReducer loop, RelayControlPart control, List<String> zones) {
    this.loop = loop;
    this.control = control;
    this.zones = zones;
  }

  @Override
  public CompletableFuture<CommandResult> submit(RelayCommand command) {
    long callId = ++lastCall;
    CompletableFuture<CommandResult> answer = new CompletableFuture<>();
    pending.put(callId, answer);
    loop.submit(new RelayEvent.CommandAsked(callId, command, TIMEOUT_MILLIS));
    return answer;
  }

  void reply(RelayEffect.ReplyToCall reply) {
    CompletableFuture<CommandResult> answer = pending.remove(reply.callId());
    CommandResult result = reply.result();
    if (answer == null) {
      return;
    }
    if (result == null) {
      answer.completeExceptionally(new CommandUnconfirmedException(reply.remedy()));
    } else {
      answer.complete(result);
    }
  }

  @Override
  public UpstreamRun runsUntilNow(String id) {
    return new UpstreamRun(id, loop.now().toEpochMilli());
  }

  @Override
  public @Nullable GroupStatus group() {
    return control.group();
  }

  @Override
  public @Nullable List<LimitedUpstream> limitedUpstreams() {
    return control.leads() ? control.limitedUpstreams() : null;
  }

  @Override
  public boolean isZone(String zone) {
    return !zone.isEmpty() && (zones.isEmpty() || zones.contains(zone));
  }

  @Override
  public void heartbeat(UpstreamInstance instance) {
    loop.submit(new RelayEvent.HeartbeatReceived(instance));
  }

  @Override
  public List<String> callerAddresses(String zone, String requester) {
    return control.callerAddresses(zone, requester);
  }
}
