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

/** What a control VM does for operators, upstreams and callers; called on its one thread. */
public interface ControlCalls extends EntryDirectory {

  /**
   * Has a command agreed on.
   *
   * @param command the command
   * @return what it gave; fails with {@link CommandUnconfirmedException} if that isn't known in
   *     time
   */
  CompletableFuture<CommandResult> submit(RelayCommand command);

  /**
   * Returns what stands for all starts of an upstream until now.
   *
   * <p>For an upstream that says that it leaves without saying which start of it does.
   */
  UpstreamRun runsUntilNow(String id);

  /** Returns what this control VM's replica knows of its group, or null before it has one. */
  @Nullable GroupStatus group();

  /** Returns the upstreams that name a rate limit, or null if this control VM doesn't lead. */
  @Nullable List<LimitedUpstream> limitedUpstreams();

  /** Returns whether there is such an availability zone, as far as this control VM knows. */
  boolean isZone(String zone);

  /** Takes note of an upstream's heartbeat. */
  void heartbeat(UpstreamInstance instance);
}
