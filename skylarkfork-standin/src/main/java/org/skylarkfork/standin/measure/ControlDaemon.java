package org.skylarkfork.standin.measure;

import java.time.Instant;
import java.util.List;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.command.CompositeMachine;
import org.skylarkfork.core.command.ConfigurationCommand;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.configuration.ConfigurationMachine;
import org.skylarkfork.core.configuration.ConfigurationPart;
import org.skylarkfork.core.configuration.ConfigurationSettings;
import org.skylarkfork.core.configuration.LocalReplica;
import org.skylarkfork.core.configuration.ZoneTree;
import org.skylarkfork.core.consensus.ConsensusPart;
import org.skylarkfork.core.consensus.GroupSetup;
import org.skylarkfork.core.consensus.RaftSettings;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.runtime.codec.Codec;

/** Configuration and, on a voter, its replica of one daemon, with what they cost. */
final class ControlDaemon {

  final String name;
  final String region;
  final boolean voter;
  final ConfigurationPart configuration;
  final ConsensusPart consensus;
  long nanos;
  long bytesOut;
  long bytesIn;
  long messagesOut;
  long syncs;
  private final Reducer reducer;

  ControlDaemon(
      String name,
      String region,
      List<String> voters,
      Supplier<List<String>> zone,
      String operatorKeyHash,
      Codec codec,
      long seed) {
    this.name = name;
    this.region = region;
    voter = voters.contains(name);
    ConfigurationMachine machine = new ConfigurationMachine();
    CompositeMachine routed =
        new CompositeMachine(
            List.of(new CompositeMachine.Route(ConfigurationCommand.class, machine)));
    GroupSetup group = new GroupSetup(GroupId.CONFIGURATION, voters, voter ? routed : null);
    consensus =
        new ConsensusPart(
            name, List.of(group), RaftSettings.defaults(), new MeasureCodec(codec), seed);
    @Nullable LocalReplica replica =
        voter
            ? new LocalReplica(machine, now -> consensus.holdsLease(GroupId.CONFIGURATION, now))
            : null;
    configuration =
        new ConfigurationPart(
            name,
            ConfigurationSettings.defaults(operatorKeyHash),
            new ZoneTree(name, () -> voters, zone),
            voters,
            consensus.submitter(),
            replica);
    reducer = new Reducer(List.of(consensus, configuration));
  }

  List<Effect> apply(Event event, Instant now) {
    long start = ProcessorTime.nanos();
    List<Effect> effects = reducer.apply(event, now);
    nanos += ProcessorTime.nanos() - start;
    return effects;
  }

  boolean leads(Instant now) {
    return consensus.holdsLease(GroupId.CONFIGURATION, now);
  }

  void reset() {
    nanos = 0;
    bytesOut = 0;
    bytesIn = 0;
    messagesOut = 0;
    syncs = 0;
  }
}
