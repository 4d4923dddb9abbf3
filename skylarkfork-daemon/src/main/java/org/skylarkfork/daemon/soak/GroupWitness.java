package org.skylarkfork.daemon.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.Member;
import org.skylarkfork.runtime.relay.RelayAdmin;

/**
 * Judges from what the control VMs say whether their group bears the loss of a disk.
 *
 * <p>A control VM whose disk was lost counts again only once it has copied the log and a majority
 * has agreed that it votes. On a busy machine that takes many times as long as its process takes to
 * run: a second disk that is lost before leaves one copy of three, and the group stands still on
 * purpose.
 */
final class GroupWitness {

  private final int controls;

  /** The disk that each control VM said to have, until that disk is lost. */
  private final Map<Integer, Long> disks = new HashMap<>();

  /**
   * Makes a witness that was told nothing.
   *
   * @param controls how many control VMs there are
   */
  GroupWitness(int controls) {
    this.controls = controls;
  }

  /** Takes note that a control VM has lost its disk: it has another one from now on. */
  void lost(int control) {
    disks.remove(control);
  }

  /**
   * Returns whether the loss of a disk now leaves a majority of voters with theirs.
   *
   * @param answers what each control VM says now, in their order; null where one is silent
   */
  boolean bearsLoss(List<RelayAdmin.@Nullable Group> answers) {
    for (int control = 0; control < answers.size(); control++) {
      RelayAdmin.Group answer = answers.get(control);
      if (answer != null) {
        disks.put(control, answer.instance());
      }
    }
    return answers.stream()
        .filter(Objects::nonNull)
        .anyMatch(answer -> namesPresentDisks(answer) && isShared(answer, answers));
  }

  private boolean namesPresentDisks(RelayAdmin.Group answer) {
    List<Long> voting = new ArrayList<>(answer.voters().stream().map(Member::instance).toList());
    return disks.size() == controls
        && voting.size() == controls
        && voting.containsAll(disks.values());
  }

  private boolean isShared(RelayAdmin.Group answer, List<RelayAdmin.@Nullable Group> answers) {
    long sharing = answers.stream().filter(other -> agrees(answer, other)).count();
    return 2 * sharing > controls;
  }

  private static boolean agrees(RelayAdmin.Group one, RelayAdmin.@Nullable Group other) {
    return other != null
        && other.leader() != null
        && other.leader().equals(one.leader())
        && other.term() == one.term()
        && other.membersAgreed()
        && other.voters().equals(one.voters());
  }
}
