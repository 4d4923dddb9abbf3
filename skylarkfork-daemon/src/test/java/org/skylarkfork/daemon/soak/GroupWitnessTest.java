package org.skylarkfork.daemon.soak;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.Member;
import org.skylarkfork.core.consensus.Role;
import org.skylarkfork.runtime.relay.RelayAdmin;
import org.testng.annotations.Test;

/** Tests of when a soak may take a disk away. */
public final class GroupWitnessTest {

  private static final List<Member> FOUNDED = voters(11, 12, 13);

  private static List<Member> voters(long one, long two, long three) {
    return List.of(new Member("a", one), new Member("b", two), new Member("c", three));
  }

  private static RelayAdmin.Group says(long disk, long term, boolean agreed, List<Member> voters) {
    Role role = disk == 11 ? Role.LEADER : Role.FOLLOWER;
    return new RelayAdmin.Group(disk, role, "a", term, 5, agreed, voters, List.of());
  }

  private static boolean bears(GroupWitness witness, RelayAdmin.@Nullable Group... answers) {
    return witness.bearsLoss(Arrays.asList(answers));
  }

  private static GroupWitness founded() {
    GroupWitness witness = new GroupWitness(3);
    assertTrue(
        bears(
            witness,
            says(11, 2, true, FOUNDED),
            says(12, 2, true, FOUNDED),
            says(13, 2, true, FOUNDED)));
    return witness;
  }

  /**
   * Guards against a second disk taken while the first one's replica doesn't vote yet: all three
   * processes run, and the group has one copy left of three.
   */
  @Test
  public void noDiskIsTakenWhileOneThatWasLostDoesNotVote() {
    GroupWitness witness = founded();
    witness.lost(2);
    RelayAdmin.Group one = says(11, 2, true, FOUNDED);
    RelayAdmin.Group two = says(12, 2, true, FOUNDED);
    assertFalse(bears(witness, one, two, null), "its process listens not yet");
    assertFalse(bears(witness, one, two, says(14, 0, true, List.of())), "it has an empty disk");
    List<Member> without = FOUNDED.subList(0, 2);
    assertFalse(
        bears(
            witness,
            says(11, 2, true, without),
            says(12, 2, true, without),
            says(14, 2, true, without)),
        "it copies the log");
    List<Member> again = voters(11, 12, 14);
    assertFalse(
        bears(witness, says(11, 2, false, again), says(12, 2, true, without), null),
        "that it votes isn't agreed on");
    assertTrue(bears(witness, says(11, 2, true, again), says(12, 2, true, again), null));
  }

  /** Guards against a disk taken on the word of one that was cut off or is of an older term. */
  @Test
  public void oneVoiceIsNoMajority() {
    GroupWitness witness = founded();
    assertFalse(bears(witness, says(11, 2, true, FOUNDED), null, null));
    assertFalse(bears(witness, says(11, 2, true, FOUNDED), says(12, 3, true, FOUNDED), null));
    assertTrue(bears(witness, says(11, 3, true, FOUNDED), says(12, 3, true, FOUNDED), null));
    assertFalse(bears(witness, null, null, null));
  }

  /** Guards against a control VM that never said which disk it has: it may have lost it. */
  @Test
  public void eachControlVmMustHaveNamedItsDisk() {
    GroupWitness witness = new GroupWitness(3);
    assertFalse(bears(witness, says(11, 2, true, FOUNDED), says(12, 2, true, FOUNDED), null));
  }
}
