package org.skylarkfork.core.message;

import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.entrylist.NamedEntry;
import org.skylarkfork.core.overload.EntryCapacity;
import org.skylarkfork.core.relay.EntryOrdinal;
import org.skylarkfork.core.relay.RelayConfiguration;
import org.skylarkfork.core.relay.ReportedLimit;
import org.skylarkfork.core.relay.UpstreamInstance;
import org.skylarkfork.core.relay.UpstreamStatus;
import org.skylarkfork.core.rollout.RollOutAge;
import org.skylarkfork.core.rollout.ServiceRollOut;
import org.skylarkfork.core.rollout.VersionCounts;
import org.skylarkfork.core.upstream.UpstreamRun;

/** Messages between the entries and control VMs of the relay. */
public sealed interface RelayMessage extends PeerMessage {

  /**
   * An entry's heartbeat to a control VM, which also requests updates. The leader answers with an
   * {@link EntryUpdate}; other control VMs answer only an entry that knows no leader, with the
   * control VMs that they know.
   *
   * @param callerAddress address at which callers connect to the entry
   * @param zone availability zone of the entry
   * @param serving whether callers should be directed to the entry
   * @param incarnation incarnation number of the entry's process
   * @param sentAt time of this poll on the entry's clock, echoed as {@code provenAt} of the answer
   * @param version version of the entry's configuration; 0 for none
   * @param stateIndex log index of the entry's {@link SharedState}; 0 for none
   * @param directoryEpoch epoch of the entry's directory of upstreams; 0 for none
   * @param directorySequence sequence number of the newest change in the entry's directory
   * @param searching whether the entry knows no leader
   * @param busy whether callers should prefer other entries, since the entry's processor is
   *     overloaded or it reaches upstreams through other entries only
   * @param neighbourhoodVersion version of the entry's {@link Neighbourhood}; 0 for none
   * @param counts results of each version since the later one of the start of the entry's process
   *     and the start of the service's newest roll-out; empty in polls to others than the leader
   * @param limits rate limits that upstreams reported to the entry and that the leader doesn't
   *     know; empty in polls to others than the leader
   * @param leaving upstreams that stated in answers to the entry that they are leaving, as far as
   *     the leader hasn't confirmed it; empty in polls to others than the leader
   * @param capacity capacity of the entry's VM
   * @param rollOutAges for how long the entry's process has known the running roll-outs; empty in
   *     polls to others than the leader, and from older entries
   */
  record EntryPoll(
      String callerAddress,
      String zone,
      boolean serving,
      long incarnation,
      Instant sentAt,
      long version,
      long stateIndex,
      long directoryEpoch,
      long directorySequence,
      boolean searching,
      boolean busy,
      long neighbourhoodVersion,
      List<VersionCounts> counts,
      List<UpstreamRateLimit> limits,
      List<UpstreamRun> leaving,
      EntryCapacity capacity,
      List<RollOutAge> rollOutAges)
      implements RelayMessage {

    /** Creates a poll without ages of roll-outs. */
    public EntryPoll(
        String callerAddress,
        String zone,
        boolean serving,
        long incarnation,
        Instant sentAt,
        long version,
        long stateIndex,
        long directoryEpoch,
        long directorySequence,
        boolean searching,
        boolean busy,
        long neighbourhoodVersion,
        List<VersionCounts> counts,
        List<UpstreamRateLimit> limits,
        List<UpstreamRun> leaving,
        EntryCapacity capacity) {
      this(
          callerAddress,
          zone,
          serving,
          incarnation,
          sentAt,
          version,
          stateIndex,
          directoryEpoch,
          directorySequence,
          searching,
          busy,
          neighbourhoodVersion,
          counts,
          limits,
          leaving,
          capacity,
          List.of());
    }

    /** Copies the lists. */
    public EntryPoll {
      counts = List.copyOf(counts);
      limits = List.copyOf(limits);
      leaving = List.copyOf(leaving);
      rollOutAges = List.copyOf(rollOutAges);
    }
  }

  /**
   * A rate limit that an upstream reported in an answer.
   *
   * @param upstream the run of the upstream that answered
   * @param named the reported limit and its age
   */
  record UpstreamRateLimit(UpstreamRun upstream, ReportedLimit named) {}

  /**
   * Updates an entry with what it lacks. The leader sends it as the answer to an {@link EntryPoll}
   * and after changes; other control VMs send only {@code controlNodes}, to an entry that knows no
   * leader.
   *
   * @param provenAt {@code sentAt} of a poll, on the entry's clock, after whose arrival the
   *     sender's leadership was confirmed; null if the update doesn't answer such a poll
   * @param stateIndex log index of the state that the update reflects
   * @param configuration the newest configuration, or null if the entry already has it
   * @param shared the replicated state beside the configuration, or null if the entry already has
   *     it
   * @param directory changes of the leader's directory of upstreams
   * @param controlNodes node names of the control VMs
   * @param entries number of serving entries
   * @param neighbourhood the other entries as far as they concern the receiver, or null if the
   *     entry already has this version or it isn't known yet
   */
  record EntryUpdate(
      @Nullable Instant provenAt,
      long stateIndex,
      @Nullable RelayConfiguration configuration,
      @Nullable SharedState shared,
      DirectoryChanges directory,
      List<String> controlNodes,
      int entries,
      @Nullable Neighbourhood neighbourhood)
      implements RelayMessage {

    /** Copies the list. */
    public EntryUpdate {
      controlNodes = List.copyOf(controlNodes);
    }
  }

  /**
   * What the leader reports to an entry about the other entries.
   *
   * @param version number that changes with the content
   * @param callerAddresses addresses at which callers may connect, those of entries in the same
   *     zone first
   * @param peers node names of the entries to which the entry reports its load
   * @param schedulers node names of the schedulers, the entries that choose engines for prompts;
   *     the scheduler at index {@code i} is responsible for engine group {@code i}; empty if each
   *     entry places its own prompts
   * @param place ordinal of the entry among all entries
   * @param selectable entries from which the entry selects a list for each caller; empty if {@code
   *     callerAddresses} is the list of all callers
   * @param forwarders node names of the entries that open connections to upstreams for this one if
   *     it can't reach them itself; empty from older leaders
   */
  record Neighbourhood(
      long version,
      List<String> callerAddresses,
      List<String> peers,
      List<String> schedulers,
      EntryOrdinal place,
      List<NamedEntry> selectable,
      List<String> forwarders) {

    /** Value before the first report of the leader. */
    public static final Neighbourhood NONE =
        new Neighbourhood(0, List.of(), List.of(), List.of(), EntryOrdinal.UNKNOWN, List.of());

    /** Creates a neighbourhood without forwarders. */
    public Neighbourhood(
        long version,
        List<String> callerAddresses,
        List<String> peers,
        List<String> schedulers,
        EntryOrdinal place,
        List<NamedEntry> selectable) {
      this(version, callerAddresses, peers, schedulers, place, selectable, List.of());
    }

    /** Copies the lists. */
    public Neighbourhood {
      callerAddresses = List.copyOf(callerAddresses);
      peers = List.copyOf(peers);
      schedulers = List.copyOf(schedulers);
      selectable = List.copyOf(selectable);
      forwarders = List.copyOf(forwarders);
    }
  }

  /**
   * A placement query of an entry to a scheduler, which answers with a {@link PlacementAnswer}.
   *
   * @param number number of the query, which the sending entry uses only once
   * @param group index of the engine group to choose from
   * @param groups number of engine groups
   * @param service service that the request is for
   * @param model model that has to answer
   * @param zone availability zone of the sending entry
   * @param beginnings prefixes of the prompt, shortest first; the last one is the whole prompt
   * @param promptTokens length of the whole prompt in tokens
   * @param objectiveMillis objective for the time until the answer begins, in milliseconds
   * @param versions versions that may receive the request
   * @param excluded ids of engines that may not receive the request
   * @param lastsMillis time after which the request has ended in any case, in milliseconds; the
   *     scheduler then releases the reservation
   * @param team name of the request's team; empty for none, and from older entries
   * @param rank priority of the team or, without one, of the route, 0 being the highest; 0 from
   *     older entries
   */
  record PlacementAsk(
      long number,
      int group,
      int groups,
      String service,
      String model,
      String zone,
      List<PromptPrefix> beginnings,
      int promptTokens,
      int objectiveMillis,
      List<String> versions,
      List<String> excluded,
      int lastsMillis,
      String team,
      int rank)
      implements RelayMessage {

    /** Copies the lists. */
    public PlacementAsk {
      beginnings = List.copyOf(beginnings);
      versions = List.copyOf(versions);
      excluded = List.copyOf(excluded);
    }
  }

  /**
   * A prefix of a prompt.
   *
   * @param key hash of the prefix, which covers the model too
   * @param tokens length of the prefix in tokens
   */
  record PromptPrefix(long key, int tokens) {}

  /**
   * A scheduler's answer to a {@link PlacementAsk}. The scheduler counts the request as load of the
   * chosen engine until the entry reports the end of the attempt or the request's time is over.
   *
   * @param number number of the query
   * @param upstream id of the chosen engine, or null if no engine of the group can accept the
   *     request; the other figures are 0 then
   * @param waitMillis estimated time until the engine starts the request, in milliseconds
   * @param workMillis estimated time of the prefill, in milliseconds
   * @param firstByteMillis estimated time until the first byte of the answer, in milliseconds
   * @param newTokens tokens of the prompt outside the engine's cached prefix, which the prefill has
   *     to process
   * @param shift number of ranks by which the attempt is moved back at its engine because its team
   *     is over its fair share; 0 for none, and from older schedulers
   */
  record PlacementAnswer(
      long number,
      @Nullable String upstream,
      int waitMillis,
      int workMillis,
      int firstByteMillis,
      int newTokens,
      int shift)
      implements RelayMessage {

    /** Creates the answer for an attempt that isn't shifted. */
    public PlacementAnswer(
        long number,
        @Nullable String upstream,
        int waitMillis,
        int workMillis,
        int firstByteMillis,
        int newTokens) {
      this(number, upstream, waitMillis, workMillis, firstByteMillis, newTokens, 0);
    }
  }

  /**
   * An entry's report to a scheduler on the progress of an attempt that the scheduler placed.
   *
   * @param number number of the query
   * @param progress what has happened to the attempt
   * @param millis time since the attempt was sent, in milliseconds
   * @param named the engine's rate limit as the entry knows it, or null if the engine never
   *     reported one
   * @param backoffMillis time for which the engine asked the entry to send nothing, in
   *     milliseconds; 0 if it did not
   */
  record PlacementNews(
      long number,
      AttemptProgress progress,
      int millis,
      @Nullable ReportedLimit named,
      int backoffMillis)
      implements RelayMessage {

    /** Creates the report of an attempt whose engine never reported a rate limit or a backoff. */
    public PlacementNews(long number, AttemptProgress progress, int millis) {
      this(number, progress, millis, null, 0);
    }
  }

  /** Progress of an attempt. */
  enum AttemptProgress {
    /** The answer has begun. */
    BEGUN,
    /** The attempt has ended without a failure of the engine. */
    ENDED,
    /** The attempt failed at the engine. */
    FAILED,
    /** No connection to the engine could be opened. */
    UNREACHABLE,
    /** The entry ended the attempt because the engine was silent for too long. */
    SILENT
  }

  /**
   * An entry's report to another entry on its own running requests.
   *
   * @param loads load of the sender at each upstream where it has any
   * @param prompts shared prefixes of the prompts that the sender has sent since its last report
   */
  record EntryLoads(List<UpstreamLoad> loads, List<CachedPrefix> prompts) implements RelayMessage {

    /** Copies the lists. */
    public EntryLoads {
      loads = List.copyOf(loads);
      prompts = List.copyOf(prompts);
    }
  }

  /**
   * An entry's load at one upstream.
   *
   * @param upstream id of the upstream
   * @param running number of the entry's requests that run or wait at the upstream
   * @param waitingMillis estimated prefill time of those requests whose answer has not begun, in
   *     milliseconds
   */
  record UpstreamLoad(String upstream, int running, int waitingMillis) {}

  /**
   * A shared prompt prefix that an engine has cached or is processing.
   *
   * @param upstream id of the engine
   * @param key hash of the prefix, which covers the model too
   */
  record CachedPrefix(String upstream, long key) {}

  /**
   * Replicated state beside the configuration.
   *
   * @param rollOuts newest roll-out of each service
   * @param leaving runs of upstreams that are leaving and receive no new requests
   * @param evacuated evacuated availability zones, whose upstreams receive no requests
   * @param quarantined keys of the requests that are refused because they crash upstreams
   */
  record SharedState(
      List<ServiceRollOut> rollOuts,
      List<UpstreamRun> leaving,
      List<String> evacuated,
      List<RequestKey> quarantined) {

    /** Copies the lists. */
    public SharedState {
      rollOuts = List.copyOf(rollOuts);
      leaving = List.copyOf(leaving);
      evacuated = List.copyOf(evacuated);
      quarantined = List.copyOf(quarantined);
    }
  }

  /**
   * Changes of a leader's directory of upstreams.
   *
   * @param epoch term of the leader, which distinguishes the directories of different leaders
   * @param sequence sequence number of the newest change in the directory
   * @param whole whether {@code upstreams} is the complete directory, else it holds only changes
   * @param settled whether the leader has led long enough to know every live upstream
   * @param upstreams states of the upstreams
   */
  record DirectoryChanges(
      long epoch, long sequence, boolean whole, boolean settled, List<UpstreamStatus> upstreams) {

    /** Copies the list. */
    public DirectoryChanges {
      upstreams = List.copyOf(upstreams);
    }
  }

  /**
   * Notifies an entry that an upstream asked for a backoff over a connection that the entry had
   * opened for the sender.
   *
   * @param upstream the run of the upstream
   * @param backoffMillis remaining time of the backoff, in milliseconds
   */
  record ForwardedBackoff(UpstreamRun upstream, int backoffMillis) implements RelayMessage {}

  /**
   * Forwards an upstream's heartbeat from the control VM that received it to the leader.
   *
   * @param instance the content of the heartbeat
   */
  record UpstreamHeard(UpstreamInstance instance) implements RelayMessage {}
}
