package org.skylarkfork.core.membership;

import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.MembershipEvent;

/** Raises membership events and records changes in the log and the metrics. */
final class MembershipEventPublisher {

  private MembershipEventPublisher() {}

  /** Raises the events of an update that has just overridden the known state. */
  static void raise(MemberUpdate update, @Nullable MemberUpdate known, Output out) {
    Member member = update.member();
    boolean sameProcess =
        known != null
            && known.status().isLive()
            && known.member().incarnation() == member.incarnation();
    if (update.status().isLive() && !sameProcess) {
      log(member, "joined", false, out);
      out.raise(new MembershipEvent.MemberJoined(member));
    }
    switch (update.status()) {
      case ALIVE -> {
        if (sameProcess) {
          out.raise(new MembershipEvent.MemberChanged(member));
        }
      }
      case SUSPECTED -> {
        log(member, "is suspected by " + update.accuser(), false, out);
        out.raise(new MembershipEvent.MemberSuspected(member));
      }
      case DEAD -> {
        log(member, "died", true, out);
        out.raise(new MembershipEvent.MemberDied(member));
      }
      case LEFT -> {
        log(member, "left", false, out);
        out.raise(new MembershipEvent.MemberLeft(member));
      }
      default -> throw new IllegalStateException("unknown status: " + update.status());
    }
    String label = update.status().name().toLowerCase(Locale.ROOT);
    out.effect(new TraceEffect.Count("membership_changes", label, 1));
  }

  static void log(Member member, String change, boolean warning, Output out) {
    String sentence = member.name() + " at " + member.address() + " " + change;
    out.effect(new TraceEffect.LogLine(warning, "membership", sentence));
  }
}
