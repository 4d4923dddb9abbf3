package org.skylarkfork.runtime.packed;

import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.GroupCommand;
import org.skylarkfork.core.command.RelayCommand;
import org.skylarkfork.core.command.RelayResult;
import org.skylarkfork.core.rollout.RollOutPhase;
import org.skylarkfork.core.rollout.ServiceRollOut;
import org.skylarkfork.core.upstream.UpstreamRun;
import org.skylarkfork.runtime.codec.CodecException;

/** Packing of the commands of the relay's group and of their results. */
public final class CommandPacking implements Packing<Command> {

  // Tags on the wire and on the disk; a tag is never reused for another record.
  private static final int NO_OPERATION = 1;
  private static final int PROBE = 2;
  private static final int CHANGE_MEMBERS = 3;
  private static final int ADMIT_MEMBER = 4;
  private static final int REMOVE_MEMBER = 5;
  private static final int PUT_CONFIGURATION = 16;
  private static final int READ_CONFIGURATION = 17;
  private static final int BEGIN_ROLL_OUT = 18;
  private static final int ADVANCE_ROLL_OUT = 19;
  private static final int READ_ROLL_OUT = 20;
  private static final int UPSTREAM_LEAVES = 21;
  private static final int EVACUATE_ZONE = 22;
  private static final int TAKE_ZONE_BACK = 23;
  private static final int READ_EVACUATIONS = 24;
  private static final int QUARANTINE_REQUEST = 25;
  private static final int LIFT_QUARANTINE = 26;
  private static final int READ_QUARANTINE = 27;

  private static final int DONE = 1;
  private static final int REJECTED = 2;
  private static final int CONFIGURATION_ACCEPTED = 16;
  private static final int CONFIGURATION_READ = 17;
  private static final int ROLL_OUT_READ = 18;
  private static final int EVACUATIONS_READ = 19;
  private static final int QUARANTINE_READ = 20;

  @Override
  public Class<Command> type() {
    return Command.class;
  }

  @Override
  public void write(Command command, PackedWriter out) {
    writeCommand(command, out);
  }

  @Override
  public Command read(PackedReader in) {
    return readCommand(in);
  }

  static void writeCommand(Command command, PackedWriter out) {
    if (command instanceof GroupCommand own) {
      writeGroupCommand(own, out);
    } else if (command instanceof RelayCommand relay) {
      writeRelayCommand(relay, out);
    } else {
      throw unsupported(command);
    }
  }

  private static CodecException unsupported(Object value) {
    return new CodecException(
        CodecException.Kind.UNSUPPORTED,
        value.getClass().getName() + " isn't a type of the relay",
        null);
  }

  private static void writeGroupCommand(GroupCommand command, PackedWriter out) {
    if (command instanceof GroupCommand.NoOperation) {
      out.tagged(NO_OPERATION, 0);
    } else if (command instanceof GroupCommand.Probe probe) {
      out.tagged(PROBE, 1).text(probe.key());
    } else if (command instanceof GroupCommand.ChangeMembers change) {
      RaftValues.writeMembers(change.members(), out.tagged(CHANGE_MEMBERS, 1));
    } else if (command instanceof GroupCommand.AdmitMember admit) {
      out.tagged(ADMIT_MEMBER, 1).text(admit.node());
    } else if (command instanceof GroupCommand.RemoveMember remove) {
      out.tagged(REMOVE_MEMBER, 1).text(remove.node());
    }
  }

  private static void writeRelayCommand(RelayCommand command, PackedWriter out) {
    if (command instanceof RelayCommand.PutConfiguration put) {
      RelayValues.writeConfiguration(put.configuration(), out.tagged(PUT_CONFIGURATION, 2));
      out.bytes(put.document());
    } else if (command instanceof RelayCommand.ReadConfiguration) {
      out.tagged(READ_CONFIGURATION, 0);
    } else if (command instanceof RelayCommand.BeginRollOut begin) {
      out.tagged(BEGIN_ROLL_OUT, 3)
          .text(begin.service())
          .text(begin.target())
          .number(begin.deadlineMillis());
    } else if (command instanceof RelayCommand.AdvanceRollOut advance) {
      out.tagged(ADVANCE_ROLL_OUT, 6)
          .text(advance.service())
          .text(advance.target())
          .text(advance.phase().name())
          .number(advance.startIndex())
          .optional(advance.baseline(), RelayValues::writeTotals)
          .number(advance.sessionShare());
    } else if (command instanceof RelayCommand.ReadRollOut read) {
      out.tagged(READ_ROLL_OUT, 1).text(read.service());
    } else if (command instanceof RelayCommand.UpstreamLeaves leaves) {
      out.tagged(UPSTREAM_LEAVES, 2).text(leaves.run().id()).number(leaves.run().bornMillis());
    } else if (command instanceof RelayCommand.EvacuateZone evacuate) {
      out.tagged(EVACUATE_ZONE, 1).text(evacuate.zone());
    } else if (command instanceof RelayCommand.TakeZoneBack back) {
      out.tagged(TAKE_ZONE_BACK, 1).text(back.zone());
    } else if (command instanceof RelayCommand.ReadEvacuations) {
      out.tagged(READ_EVACUATIONS, 0);
    } else if (command instanceof RelayCommand.QuarantineRequest request) {
      RelayValues.writeKey(request.key(), out.tagged(QUARANTINE_REQUEST, 1));
    } else if (command instanceof RelayCommand.LiftQuarantine lift) {
      RelayValues.writeKey(lift.key(), out.tagged(LIFT_QUARANTINE, 1));
    } else if (command instanceof RelayCommand.ReadQuarantine) {
      out.tagged(READ_QUARANTINE, 0);
    }
  }

  static Command readCommand(PackedReader in) {
    return in.tagged((tag, components) -> readCommand(tag, components, in));
  }

  private static Command readCommand(int tag, PackedReader.Components components, PackedReader in) {
    switch (tag) {
      case NO_OPERATION:
        return new GroupCommand.NoOperation();
      case PROBE:
        components.consume(1);
        return new GroupCommand.Probe(in.text());
      case CHANGE_MEMBERS:
        components.consume(1);
        return new GroupCommand.ChangeMembers(RaftValues.readMembers(in));
      case ADMIT_MEMBER:
        components.consume(1);
        return new GroupCommand.AdmitMember(in.text());
      case REMOVE_MEMBER:
        components.consume(1);
        return new GroupCommand.RemoveMember(in.text());
      default:
        return readRelayCommand(tag, components, in);
    }
  }

  private static Command readRelayCommand(
      int tag, PackedReader.Components components, PackedReader in) {
    switch (tag) {
      case PUT_CONFIGURATION:
        components.consume(2);
        return new RelayCommand.PutConfiguration(RelayValues.readConfiguration(in), in.bytes());
      case READ_CONFIGURATION:
        return new RelayCommand.ReadConfiguration();
      case BEGIN_ROLL_OUT:
        components.consume(3);
        return new RelayCommand.BeginRollOut(in.text(), in.text(), in.number());
      case ADVANCE_ROLL_OUT:
        components.consume(3);
        return new RelayCommand.AdvanceRollOut(
            in.text(),
            in.text(),
            RelayValues.constant(RollOutPhase.class, in.text()),
            components.consumeIfPresent() ? in.number() : 0,
            components.consumeIfPresent() ? in.optional(RelayValues::readTotals) : null,
            components.consumeIfPresent() ? in.smallNumber() : 0);
      case READ_ROLL_OUT:
        components.consume(1);
        return new RelayCommand.ReadRollOut(in.text());
      case UPSTREAM_LEAVES:
        components.consume(1);
        String id = in.text();
        return new RelayCommand.UpstreamLeaves(
            components.consumeIfPresent()
                ? new UpstreamRun(id, in.number())
                : UpstreamRun.allRunsOf(id));
      case EVACUATE_ZONE:
        components.consume(1);
        return new RelayCommand.EvacuateZone(in.text());
      case TAKE_ZONE_BACK:
        components.consume(1);
        return new RelayCommand.TakeZoneBack(in.text());
      case READ_EVACUATIONS:
        return new RelayCommand.ReadEvacuations();
      case QUARANTINE_REQUEST:
        components.consume(1);
        return new RelayCommand.QuarantineRequest(RelayValues.readKey(in));
      case LIFT_QUARANTINE:
        components.consume(1);
        return new RelayCommand.LiftQuarantine(RelayValues.readKey(in));
      case READ_QUARANTINE:
        return new RelayCommand.ReadQuarantine();
      default:
        throw PackedReader.unknown("command", tag);
    }
  }

  static void writeResult(CommandResult result, PackedWriter out) {
    if (result instanceof CommandResult.Done) {
      out.tagged(DONE, 0);
    } else if (result instanceof CommandResult.Rejected rejected) {
      out.tagged(REJECTED, 1).text(rejected.remedy());
    } else if (result instanceof RelayResult.ConfigurationAccepted accepted) {
      out.tagged(CONFIGURATION_ACCEPTED, 1).number(accepted.version());
    } else if (result instanceof RelayResult.ConfigurationRead read) {
      out.tagged(CONFIGURATION_READ, 2).number(read.version()).bytes(read.document());
    } else if (result instanceof RelayResult.RollOutRead read) {
      out.tagged(ROLL_OUT_READ, 1).optional(read.rollOut(), RelayValues::writeRollOut);
    } else if (result instanceof RelayResult.EvacuationsRead read) {
      out.tagged(EVACUATIONS_READ, 1).list(read.evacuations(), RelayValues::writeEvacuation);
    } else if (result instanceof RelayResult.QuarantineRead read) {
      out.tagged(QUARANTINE_READ, 1).list(read.requests(), RelayValues::writeQuarantined);
    } else {
      throw unsupported(result);
    }
  }

  static CommandResult readResult(PackedReader in) {
    return in.tagged((tag, components) -> readResult(tag, components, in));
  }

  private static CommandResult readResult(
      int tag, PackedReader.Components components, PackedReader in) {
    switch (tag) {
      case DONE:
        return new CommandResult.Done();
      case REJECTED:
        components.consume(1);
        return new CommandResult.Rejected(in.text());
      case CONFIGURATION_ACCEPTED:
        components.consume(1);
        return new RelayResult.ConfigurationAccepted(in.number());
      case CONFIGURATION_READ:
        components.consume(2);
        return new RelayResult.ConfigurationRead(in.number(), in.bytes());
      case ROLL_OUT_READ:
        components.consume(1);
        ServiceRollOut rollOut = in.optional(RelayValues::readRollOut);
        return new RelayResult.RollOutRead(rollOut);
      case EVACUATIONS_READ:
        components.consume(1);
        return new RelayResult.EvacuationsRead(in.list(RelayValues::readEvacuation));
      case QUARANTINE_READ:
        components.consume(1);
        return new RelayResult.QuarantineRead(in.list(RelayValues::readQuarantined));
      default:
        throw PackedReader.unknown("result", tag);
    }
  }
}
