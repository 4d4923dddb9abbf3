package org.skylarkfork.runtime.relay;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.RelayCommand;
import org.skylarkfork.core.consensus.GroupStatus;
import org.skylarkfork.core.relay.LimitedUpstream;
import org.skylarkfork.core.relay.UpstreamInstance;
import org.skylarkfork.core.upstream.UpstreamRun;

/**
 * Operations of a control VM for operators, upstreams and callers; called on its event loop's
 * thread only.
 */
public interface ControlCalls extends EntryDirectory {

  /**
   * Submits a command to the replicated group.
   *
   * @param command the command
   * @return the command's result; fails with {@link CommandUnconfirmedException} if the result
   *     isn't known in time
   */
  CompletableFuture<CommandResult> submit(RelayCommand command);

  /**
   * Returns a run that stands for all runs of an upstream until now.
   *
   * <p>Applies to an upstream that announces that it leaves without naming the run that leaves.
   */
  UpstreamRun runsUntilNow(String id);

  /**
   * Returns the group's status as this control VM's replica knows it, or null before the replica
   * has a group.
   */
  @Nullable GroupStatus group();

  /**
   * Returns the upstreams that report a rate limit, or null if this control VM isn't the leader.
   */
  @Nullable List<LimitedUpstream> limitedUpstreams();

  /**
   * Returns whether the text names an availability zone; any non-empty name does if the zones
   * aren't known.
   */
  boolean isZone(String zone);

  /** Records an upstream's heartbeat. */
  void heartbeat(UpstreamInstance instance);
}
