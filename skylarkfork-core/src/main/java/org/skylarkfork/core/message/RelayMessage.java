package org.skylarkfork.core.message;

import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.relay.EntryOrdinal;
import org.skylarkfork.core.relay.RelayConfiguration;
import org.skylarkfork.core.relay.ReportedLimit;
import org.skylarkfork.core.relay.ServiceRollOut;
import org.skylarkfork.core.relay.UpstreamInstance;
import org.skylarkfork.core.relay.UpstreamStatus;
import org.skylarkfork.core.relay.VersionCounts;
import org.skylarkfork.core.upstream.UpstreamRun;

/** Messages between the relay's entries and control VMs. */
public sealed interface RelayMessage extends PeerMessage {

  /**
   * An entry tells a control VM that it lives and asks what is new. The leader answers; others only
   * tell an entry that searches for the leader which control VMs they know.
   *
   * @param callerAddress where callers connect to the entry
   * @param zone its availability zone
   * @param serving whether callers should be sent to it
   * @param incarnation number of the entry's process
   * @param sentAt the entry's time of this poll, repeated in the answer
   * @param version version of the configuration it has; 0 for none
   * @param stateIndex log index of the roll-outs and leaving upstreams that it has; 0 for none
   * @param directoryEpoch epoch of the directory that it has; 0 for none
   * @param directorySequence newest change of that directory that it has
   * @param searching whether it knows no leader
   * @param busy whether it has more to do than its processor can, so that callers should rather go
   *     elsewhere
   * @param neighbourhoodVersion version of the neighbourhood that it has; 0 for none
   * @param counts what it saw of each version since its start
   * @param limits rate limits that upstreams named to it and that the leader doesn't know
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
      List<UpstreamRateLimit> limits)
      implements RelayMessage {

    /** Copies the lists. */
    public EntryPoll {
      counts = List.copyOf(counts);
      limits = List.copyOf(limits);
    }
  }

  /**
   * What an upstream said of its rate limit in an answer.
   *
   * @param upstream the start of it that answered
   * @param named what it said
   */
  record UpstreamRateLimit(UpstreamRun upstream, ReportedLimit named) {}

  /**
   * What a leader tells an entry.
   *
   * @param provenAt the entry's own time of a poll after whose arrival the sender was proven to
   *     lead; null if nothing is proven
   * @param stateIndex log index that this rests on
   * @param configuration the newest configuration, or null if the entry has it
   * @param shared roll-outs and leaving upstreams, or null if the entry has them
   * @param directory changes of the directory of upstreams
   * @param controlNodes peer names of the control VMs
   * @param entries how many entries serve
   * @param neighbourhood the other entries, or null if the entry has that or it isn't known yet
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
   * What an entry is told of the others.
   *
   * @param version changes with the content
   * @param callerAddresses where callers may connect, entries of its zone first
   * @param peers peer names of the entries that it tells of its load
   * @param schedulers peer names of the entries that place prompts, each for the group of engines
   *     whose number is its place here; empty if each entry places its own
   * @param place which one of all entries it is
   */
  record Neighbourhood(
      long version,
      List<String> callerAddresses,
      List<String> peers,
      List<String> schedulers,
      EntryOrdinal place) {

    /** Before anything was told. */
    public static final Neighbourhood NONE =
        new Neighbourhood(0, List.of(), List.of(), List.of(), EntryOrdinal.UNKNOWN);

    /** Copies the lists. */
    public Neighbourhood {
      callerAddresses = List.copyOf(callerAddresses);
      peers = List.copyOf(peers);
      schedulers = List.copyOf(schedulers);
    }
  }

  /**
   * An entry asks a scheduler for an engine.
   *
   * @param number number of this question, which the asking entry uses once
   * @param group group of engines to choose from
   * @param groups how many groups there are
   * @param service service that the request goes to
   * @param model model that is to answer
   * @param zone availability zone of the asking entry
   * @param beginnings beginnings of the prompt, the whole prompt last
   * @param promptTokens tokens of the whole prompt
   * @param objectiveMillis time in which its answer is to begin, in milliseconds
   * @param versions versions that may get the request
   * @param excluded ids of engines that may not
   * @param lastsMillis time after which the request is over in any case, in milliseconds
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
      int lastsMillis)
      implements RelayMessage {

    /** Copies the lists. */
    public PlacementAsk {
      beginnings = List.copyOf(beginnings);
      versions = List.copyOf(versions);
      excluded = List.copyOf(excluded);
    }
  }

  /**
   * A beginning of a prompt.
   *
   * @param key key of the beginning, which names the model too
   * @param tokens its length in tokens
   */
  record PromptPrefix(long key, int tokens) {}

  /**
   * A scheduler's answer. An engine that it names counts as taken until the asking entry tells of
   * the attempt's end.
   *
   * @param number number of the question
   * @param upstream id of the engine, or null if none of the group can take the request
   * @param waitMillis time until the engine turns to it, in milliseconds
   * @param workMillis time of the engine that its reading takes, in milliseconds
   * @param firstByteMillis time until its first byte, in milliseconds
   * @param newTokens tokens of its prompt that the engine has to read
   */
  record PlacementAnswer(
      long number,
      @Nullable String upstream,
      int waitMillis,
      int workMillis,
      int firstByteMillis,
      int newTokens)
      implements RelayMessage {}

  /**
   * An entry tells a scheduler how an attempt goes on that it placed.
   *
   * @param number number of the question
   * @param progress what has happened
   * @param millis time since the sending, in milliseconds
   * @param named what the entry knows of the engine's rate limit, or null if it never named one
   */
  record PlacementNews(
      long number, AttemptProgress progress, int millis, @Nullable ReportedLimit named)
      implements RelayMessage {

    /** Makes news of an attempt at an engine that never named a rate limit. */
    public PlacementNews(long number, AttemptProgress progress, int millis) {
      this(number, progress, millis, null);
    }
  }

  /** What becomes of an attempt. */
  enum AttemptProgress {
    /** Its answer has begun. */
    BEGUN,
    /** It is over, without a fault of the engine. */
    ENDED,
    /** The engine failed it. */
    FAILED,
    /** The engine could not be reached. */
    UNREACHABLE,
    /** The engine was left because it kept silent. */
    SILENT
  }

  /**
   * An entry tells another one what it has under way.
   *
   * @param loads its load at each upstream where it has any
   * @param prompts shared beginnings of prompts that it has sent since it told last
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
   * @param running requests that run or wait there
   * @param waitingMillis reading there for those whose answer has not begun, in milliseconds
   */
  record UpstreamLoad(String upstream, int running, int waitingMillis) {}

  /**
   * A shared beginning of a prompt that an engine keeps or reads now.
   *
   * @param upstream id of the engine
   * @param key key of the beginning, which names the model too
   */
  record CachedPrefix(String upstream, long key) {}

  /**
   * Agreed state beside the configuration.
   *
   * @param rollOuts newest roll-out of each service
   * @param leaving upstreams that leave
   * @param evacuated availability zones whose upstreams get nothing
   * @param quarantined requests that are refused
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
   * Changes of a leader's directory.
   *
   * @param epoch tells the directories of two leaders apart
   * @param sequence newest change in it
   * @param whole whether this is all that the leader knows, else changes only
   * @param settled whether the leader has led long enough to know every upstream that lives
   * @param upstreams the upstreams
   */
  record DirectoryChanges(
      long epoch, long sequence, boolean whole, boolean settled, List<UpstreamStatus> upstreams) {

    /** Copies the list. */
    public DirectoryChanges {
      upstreams = List.copyOf(upstreams);
    }
  }

  /**
   * A control VM passes an upstream's heartbeat on to the leader.
   *
   * @param instance what the upstream told
   */
  record UpstreamHeard(UpstreamInstance instance) implements RelayMessage {}
}
