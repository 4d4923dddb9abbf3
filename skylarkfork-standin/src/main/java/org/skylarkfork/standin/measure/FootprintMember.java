package org.skylarkfork.standin.measure;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.membership.Member;
import org.skylarkfork.core.membership.MembershipPart;
import org.skylarkfork.core.membership.MembershipSettings;
import org.skylarkfork.core.membership.Seed;
import org.skylarkfork.core.membership.ServingState;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.transport.PeerTransport;
import org.skylarkfork.runtime.transport.TransportSettings;

/** A member that speaks real frames to daemons and runs the real membership, but nothing else. */
final class FootprintMember implements AutoCloseable {

  static final String HOST = "127.0.0.1";

  final String name;
  final PeerTransport transport;
  final Map<String, Integer> ports = new HashMap<>();
  private final Reducer reducer;

  /**
   * Makes and starts it.
   *
   * @param number its number
   * @param cluster name of the cluster
   * @param zone its availability zone
   * @param seeds members to join
   * @param incarnation number of its process
   * @param codec writes frames
   * @param events takes what comes from daemons, on the transport's threads
   */
  FootprintMember(
      int number,
      String cluster,
      String zone,
      List<Seed> seeds,
      long incarnation,
      Codec codec,
      Consumer<Event> events) {
    name = "member-" + number;
    transport =
        new PeerTransport(
            new TransportSettings(
                name, cluster, incarnation, HOST, 0, TransportSettings.Limits.DEFAULT, null),
            codec,
            events);
    transport.start();
    Member self =
        new Member(
            name,
            HOST,
            transport.port(),
            0,
            0,
            zone,
            "region",
            List.of(Member.ENTRY),
            1,
            incarnation,
            0,
            ServingState.NOT_SERVING);
    MembershipPart membership =
        new MembershipPart(self, seeds, new Empty(), MembershipSettings.DEFAULT, number);
    reducer = new Reducer(List.of(membership));
  }

  List<Effect> apply(Event event, Instant now) {
    return reducer.apply(event, now);
  }

  @Override
  public void close() {
    transport.close();
  }

  private static final class Empty implements ConfigurationView {
    @Override
    public Configuration current() {
      return Configuration.EMPTY;
    }

    @Override
    public boolean mayServe(Instant now) {
      return false;
    }

    @Override
    public Optional<Team> teamByKeyHash(String sha256) {
      return Optional.empty();
    }
  }
}
