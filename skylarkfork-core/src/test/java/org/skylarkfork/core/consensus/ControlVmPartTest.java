package org.skylarkfork.core.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.GroupCommand;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.OperatorEffect;
import org.skylarkfork.core.event.ConsensusEvent;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.OperatorEvent;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ControlVmPart}. */
public final class ControlVmPartTest {

  private static final Instant NOW = Instant.EPOCH;
  private static final List<GroupId> GROUPS = List.of(GroupId.CONFIGURATION, GroupId.LEDGER);

  private final List<Command> submitted = new ArrayList<>();
  private final List<Effect> effects = new ArrayList<>();
  private final Output output =
      new Output() {
        @Override
        public void effect(Effect effect) {
          effects.add(effect);
        }

        @Override
        public void raise(Event event) {
          throw new AssertionError("no event is expected");
        }
      };
  private final Submitter submitter =
      new Submitter() {
        @Override
        public long newSubmissionId() {
          return submitted.size();
        }

        @Override
        public void submit(
            GroupId group,
            Command command,
            long submissionId,
            Instant deadline,
            Instant now,
            Output out) {
          submitted.add(command);
        }
      };

  /** Clears the recorded commands and effects, since TestNG runs all tests on one instance. */
  @BeforeMethod
  public void clearRecordedOutput() {
    submitted.clear();
    effects.clear();
  }

  @Test
  public void answersOnceAllGroupsHaveChanged() {
    ControlVmPart part = new ControlVmPart(GROUPS, submitter);
    part.apply(new OperatorEvent.ControlVmRequested("call", "vm-9", true), NOW, output);
    assertEquals(
        submitted,
        List.of(new GroupCommand.AdmitMember("vm-9"), new GroupCommand.AdmitMember("vm-9")));
    part.apply(answered(GroupId.CONFIGURATION, 0, new CommandResult.Done()), NOW, output);
    assertTrue(effects.isEmpty(), "the ledger has not answered yet");
    part.apply(answered(GroupId.LEDGER, 1, new CommandResult.Done()), NOW, output);
    assertEquals(effects, List.of(new OperatorEffect.ControlVmChanged("call", "vm-9", true)));
  }

  /**
   * Guards against a success reported after a refusal: the ledger group refuses because another
   * change of its members is pending, and then the configuration group answers with success. The
   * operator must receive only the refusal, since the ledger group has not changed.
   */
  @Test
  public void refusesOnceIfOneGroupRefuses() {
    ControlVmPart part = new ControlVmPart(GROUPS, submitter);
    part.apply(new OperatorEvent.ControlVmRequested("call", "vm-9", false), NOW, output);
    part.apply(answered(GroupId.LEDGER, 1, new CommandResult.Rejected("wait")), NOW, output);
    part.apply(answered(GroupId.CONFIGURATION, 0, new CommandResult.Done()), NOW, output);
    assertEquals(effects.size(), 1);
    OperatorEffect.RefuseOperator refused = (OperatorEffect.RefuseOperator) effects.get(0);
    assertTrue(refused.error().message().contains("wait"), refused.error().message());
  }

  private static Event answered(GroupId group, long submission, CommandResult result) {
    return new ConsensusEvent.SubmissionAnswered(group, submission, result);
  }
}
