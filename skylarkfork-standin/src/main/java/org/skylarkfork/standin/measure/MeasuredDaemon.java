package org.skylarkfork.standin.measure;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.MembershipEvent;
import org.skylarkfork.core.membership.DirectoryPart;
import org.skylarkfork.core.membership.DirectorySettings;
import org.skylarkfork.core.membership.Member;
import org.skylarkfork.core.membership.MembershipPart;
import org.skylarkfork.core.membership.MembershipSettings;
import org.skylarkfork.core.membership.Seed;
import org.skylarkfork.core.membership.ServingState;

/** Membership and directory of one daemon in virtual time, with what they cost. */
final class MeasuredDaemon {

  final Member self;
  final MembershipPart membership;
  final DirectoryPart directory;
  final Map<String, String> addresses = new HashMap<>();
  long nanos;
  long bytesOut;
  long bytesIn;
  long messagesOut;
  int deathsSeen;
  int suspicionsSeen;
  private final Reducer reducer;

  MeasuredDaemon(int number, String zone, String region, List<Seed> seeds, long seed) {
    String host = "10.0." + number / 250 + "." + (1 + number % 250);
    self =
        new Member(
            "entry-" + number,
            host,
            7000,
            8080,
            9090,
            zone,
            region,
            List.of(Member.ENTRY),
            1,
            1_767_000_000_000L + number,
            0,
            ServingState.SERVING);
    ConfigurationView serving = new Serving();
    membership = new MembershipPart(self, seeds, serving, MembershipSettings.DEFAULT, seed);
    directory = new DirectoryPart(membership, serving, DirectorySettings.DEFAULT, seed);
    reducer = new Reducer(List.of(membership, directory, (event, now, output) -> count(event)));
  }

  List<Effect> apply(Event event, Instant now) {
    long start = System.nanoTime();
    List<Effect> effects = reducer.apply(event, now);
    nanos += System.nanoTime() - start;
    return effects;
  }

  void reset() {
    nanos = 0;
    bytesOut = 0;
    bytesIn = 0;
    messagesOut = 0;
  }

  private void count(Event event) {
    if (event instanceof MembershipEvent.MemberDied) {
      deathsSeen++;
    } else if (event instanceof MembershipEvent.MemberSuspected) {
      suspicionsSeen++;
    }
  }

  private static final class Serving implements ConfigurationView {
    @Override
    public Configuration current() {
      return Configuration.EMPTY;
    }

    @Override
    public boolean mayServe(Instant now) {
      return true;
    }

    @Override
    public Optional<Team> teamByKeyHash(String sha256) {
      return Optional.empty();
    }
  }
}
