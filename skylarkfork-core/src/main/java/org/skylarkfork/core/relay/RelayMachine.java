package org.skylarkfork.core.relay;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.GroupState;
import org.skylarkfork.core.command.RelayCommand;
import org.skylarkfork.core.command.RelayResult;
import org.skylarkfork.core.command.RelayState;
import org.skylarkfork.core.command.StateMachine;
import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.rollout.RollOutPhase;
import org.skylarkfork.core.rollout.ServiceRollOut;
import org.skylarkfork.core.upstream.UpstreamRun;

/**
 * State machine of the relay's group: configuration, roll-outs, leaving upstreams, evacuated zones
 * and quarantined requests.
 */
public final class RelayMachine implements StateMachine {

  /**
   * Maximum number of retained leaving upstreams. An upstream stays a few seconds after it
   * announced that it leaves, and far fewer than this many leave in that time even if 12,000 are
   * replaced in a day.
   */
  private static final int MAX_LEAVING = 512;

  /** Maximum number of versions of a service that are remembered as rolled back. */
  private static final int MAX_ROLLED_BACK = 16;

  /** Maximum number of quarantined requests; they take 6 KB in each message that contains them. */
  private static final int MAX_QUARANTINED = 256;

  private static final byte[] NO_DOCUMENT = new byte[0];

  private RelayConfiguration configuration = RelayConfiguration.NONE;
  private byte[] document = NO_DOCUMENT;
  private final Map<String, ServiceRollOut> rollOuts = new LinkedHashMap<>();
  private final Map<String, UpstreamRun> leaving = new LinkedHashMap<>();
  private final Map<String, Evacuation> evacuations = new LinkedHashMap<>();
  private final Map<RequestKey, QuarantinedRequest> quarantined = new LinkedHashMap<>();

  /** Returns the newest configuration. */
  public RelayConfiguration configuration() {
    return configuration;
  }

  /** Returns the newest roll-out of each service. */
  public List<ServiceRollOut> rollOuts() {
    return List.copyOf(rollOuts.values());
  }

  /** Returns the runs of upstreams that leave, oldest first. */
  public List<UpstreamRun> leaving() {
    return List.copyOf(leaving.values());
  }

  /** Returns the evacuated availability zones, oldest first. */
  public List<Evacuation> evacuations() {
    return List.copyOf(evacuations.values());
  }

  /** Returns the quarantined requests, oldest first. */
  public List<QuarantinedRequest> quarantined() {
    return List.copyOf(quarantined.values());
  }

  /** Returns the keys of the quarantined requests, oldest first. */
  List<RequestKey> quarantinedKeys() {
    return List.copyOf(quarantined.keySet());
  }

  /** Returns whether a run of an upstream has announced that it leaves. */
  public boolean isLeaving(UpstreamRun run) {
    UpstreamRun leavingRun = leaving.get(run.id());
    return leavingRun != null && leavingRun.covers(run);
  }

  @Override
  public CommandResult apply(long index, Instant stampedAt, Command command) {
    if (command instanceof RelayCommand.PutConfiguration put) {
      return putConfiguration(put);
    } else if (command instanceof RelayCommand.ReadConfiguration) {
      return new RelayResult.ConfigurationRead(configuration.version(), document);
    } else if (command instanceof RelayCommand.BeginRollOut begin) {
      return beginRollOut(index, begin);
    } else if (command instanceof RelayCommand.AdvanceRollOut advance) {
      return advanceRollOut(advance);
    } else if (command instanceof RelayCommand.ReadRollOut read) {
      return new RelayResult.RollOutRead(rollOuts.get(read.service()));
    } else if (command instanceof RelayCommand.UpstreamLeaves leaves) {
      return markLeaving(leaves.run());
    } else if (command instanceof RelayCommand.EvacuateZone evacuate) {
      evacuations.putIfAbsent(evacuate.zone(), new Evacuation(evacuate.zone(), stampedAt));
      return new CommandResult.Done();
    } else if (command instanceof RelayCommand.TakeZoneBack back) {
      evacuations.remove(back.zone());
      return new CommandResult.Done();
    } else if (command instanceof RelayCommand.ReadEvacuations) {
      return new RelayResult.EvacuationsRead(evacuations());
    } else if (command instanceof RelayCommand.QuarantineRequest request) {
      return quarantine(new QuarantinedRequest(request.key(), stampedAt));
    } else if (command instanceof RelayCommand.LiftQuarantine lift) {
      quarantined.remove(lift.key());
      return new CommandResult.Done();
    } else if (command instanceof RelayCommand.ReadQuarantine) {
      return new RelayResult.QuarantineRead(quarantined());
    }
    return new CommandResult.Rejected("submit this command to the group of its family");
  }

  private CommandResult putConfiguration(RelayCommand.PutConfiguration put) {
    if (put.configuration().version() > configuration.version()) {
      configuration = put.configuration();
      document = put.document();
    }
    return new RelayResult.ConfigurationAccepted(configuration.version());
  }

  private CommandResult beginRollOut(long index, RelayCommand.BeginRollOut begin) {
    ServiceRollOut known = rollOuts.get(begin.service());
    if (known != null && known.target().equals(begin.target())) {
      return new RelayResult.RollOutRead(known);
    }
    if (known != null && known.isRunning()) {
      return new CommandResult.Rejected(
          "a roll-out to " + known.target() + " is running; wait until it is decided");
    }
    ServiceRollOut started =
        new ServiceRollOut(
            begin.service(),
            begin.target(),
            begin.deadlineMillis(),
            RollOutPhase.CANARY,
            index,
            null,
            rolledBackBefore(begin.target(), known));
    rollOuts.put(begin.service(), started);
    return new RelayResult.RollOutRead(started);
  }

  /**
   * Returns the versions that earlier roll-outs of a service rolled back, without the one that is
   * tried again.
   */
  private static List<String> rolledBackBefore(String target, @Nullable ServiceRollOut previous) {
    if (previous == null) {
      return List.of();
    }
    List<String> versions = new ArrayList<>(previous.rolledBack());
    if (previous.phase() == RollOutPhase.ROLLED_BACK) {
      versions.add(previous.target());
    }
    versions.remove(target);
    int surplus = Math.max(0, versions.size() - MAX_ROLLED_BACK);
    return versions.subList(surplus, versions.size());
  }

  private CommandResult advanceRollOut(RelayCommand.AdvanceRollOut advance) {
    @Nullable ServiceRollOut known = rollOuts.get(advance.service());
    if (known == null || !isMeant(advance, known)) {
      return new CommandResult.Done();
    }
    if (advance.phase().compareTo(known.phase()) > 0) {
      ServiceRollOut advanced = known.withPhase(advance.phase());
      boolean isMove = advance.phase() == RollOutPhase.MOVING;
      rollOuts.put(
          advance.service(), isMove ? advanced.withBaseline(advance.baseline()) : advanced);
    } else if (advance.phase() == known.phase() && advance.sessionShare() > known.sessionShare()) {
      rollOuts.put(advance.service(), known.withSessionShare(advance.sessionShare()));
    }
    return new CommandResult.Done();
  }

  private static boolean isMeant(RelayCommand.AdvanceRollOut advance, ServiceRollOut rollOut) {
    boolean sameStart = advance.startIndex() == 0 || advance.startIndex() == rollOut.startIndex();
    return rollOut.isRunning() && rollOut.target().equals(advance.target()) && sameStart;
  }

  private CommandResult markLeaving(UpstreamRun run) {
    UpstreamRun known = leaving.remove(run.id());
    leaving.put(run.id(), known != null && known.covers(run) ? known : run);
    if (leaving.size() > MAX_LEAVING) {
      leaving.remove(leaving.keySet().iterator().next());
    }
    return new CommandResult.Done();
  }

  private CommandResult quarantine(QuarantinedRequest request) {
    quarantined.putIfAbsent(request.key(), request);
    if (quarantined.size() > MAX_QUARANTINED) {
      quarantined.remove(quarantined.keySet().iterator().next());
    }
    return new CommandResult.Done();
  }

  @Override
  public GroupState snapshot() {
    return new RelayState(
        configuration, document, rollOuts(), leaving(), evacuations(), quarantined());
  }

  @Override
  public void restore(GroupState state) {
    configuration = RelayConfiguration.NONE;
    document = NO_DOCUMENT;
    rollOuts.clear();
    leaving.clear();
    evacuations.clear();
    quarantined.clear();
    if (state instanceof RelayState saved) {
      configuration = saved.configuration();
      document = saved.document();
      saved.rollOuts().forEach(rollOut -> rollOuts.put(rollOut.service(), rollOut));
      saved.leaving().forEach(run -> leaving.put(run.id(), run));
      saved.evacuations().forEach(one -> evacuations.put(one.zone(), one));
      saved.quarantined().forEach(one -> quarantined.put(one.key(), one));
    }
  }
}
