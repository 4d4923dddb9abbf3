package org.skylarkfork.runtime.packed;

import java.time.Instant;
import java.util.List;
import org.skylarkfork.core.entrylist.NamedEntry;
import org.skylarkfork.core.message.CrashMessage;
import org.skylarkfork.core.message.CrashMessage.LostRequest;
import org.skylarkfork.core.message.CrashMessage.ObservedPart;
import org.skylarkfork.core.message.CrashMessage.PartsObserved;
import org.skylarkfork.core.message.CrashMessage.PartsSuspected;
import org.skylarkfork.core.message.CrashMessage.RequestServed;
import org.skylarkfork.core.message.CrashMessage.SuspectedPart;
import org.skylarkfork.core.message.CrashMessage.UpstreamEnded;
import org.skylarkfork.core.message.PeerMessage;
import org.skylarkfork.core.message.RelayMessage;
import org.skylarkfork.core.message.RelayMessage.AttemptProgress;
import org.skylarkfork.core.message.RelayMessage.CachedPrefix;
import org.skylarkfork.core.message.RelayMessage.DirectoryChanges;
import org.skylarkfork.core.message.RelayMessage.EntryLoads;
import org.skylarkfork.core.message.RelayMessage.EntryPoll;
import org.skylarkfork.core.message.RelayMessage.EntryUpdate;
import org.skylarkfork.core.message.RelayMessage.ForwardedBackoff;
import org.skylarkfork.core.message.RelayMessage.Neighbourhood;
import org.skylarkfork.core.message.RelayMessage.PlacementAnswer;
import org.skylarkfork.core.message.RelayMessage.PlacementAsk;
import org.skylarkfork.core.message.RelayMessage.PlacementNews;
import org.skylarkfork.core.message.RelayMessage.PromptPrefix;
import org.skylarkfork.core.message.RelayMessage.SharedState;
import org.skylarkfork.core.message.RelayMessage.UpstreamHeard;
import org.skylarkfork.core.message.RelayMessage.UpstreamLoad;
import org.skylarkfork.core.message.RelayMessage.UpstreamRateLimit;
import org.skylarkfork.core.overload.EntryCapacity;
import org.skylarkfork.core.relay.EntryOrdinal;
import org.skylarkfork.core.rollout.VersionCounts;

/** Packing of the messages between entries and control VMs. */
final class RelayMessages {

  /** Lowest tag of the relay's messages; lower tags belong to the replicated group. */
  static final int FIRST_TAG = 32;

  // Tags on the wire; a tag is never reused for another record.
  private static final int ENTRY_POLL = FIRST_TAG;
  private static final int ENTRY_UPDATE = 33;
  private static final int UPSTREAM_HEARD = 34;
  private static final int ENTRY_LOADS = 35;
  private static final int PLACEMENT_ASK = 36;
  private static final int PLACEMENT_ANSWER = 37;
  private static final int PLACEMENT_NEWS = 38;
  private static final int UPSTREAM_ENDED = 39;
  private static final int REQUEST_SERVED = 40;
  private static final int FORWARDED_BACKOFF = 41;
  private static final int PARTS_SUSPECTED = 42;
  private static final int PARTS_OBSERVED = 43;

  private static final int POLL_COMPONENTS = 12;
  private static final int UPDATE_COMPONENTS = 7;
  private static final int ASK_COMPONENTS = 12;
  private static final int ANSWER_COMPONENTS = 6;
  private static final int NEWS_COMPONENTS = 3;
  private static final int LOST_COMPONENTS = 3;

  private RelayMessages() {}

  static void write(RelayMessage message, PackedWriter out) {
    if (message instanceof EntryPoll poll) {
      writePoll(poll, out);
    } else if (message instanceof EntryUpdate update) {
      writeUpdate(update, out);
    } else if (message instanceof UpstreamHeard heard) {
      RelayValues.writeInstance(heard.instance(), out.tagged(UPSTREAM_HEARD, 1));
    } else if (message instanceof ForwardedBackoff backoff) {
      RelayValues.writeRun(backoff.upstream(), out.tagged(FORWARDED_BACKOFF, 2));
      out.number(backoff.backoffMillis());
    } else if (message instanceof EntryLoads loads) {
      out.tagged(ENTRY_LOADS, 2)
          .list(loads.loads(), RelayMessages::writeLoad)
          .list(loads.prompts(), RelayMessages::writeCachedPrefix);
    } else if (message instanceof PlacementAsk ask) {
      writeAsk(ask, out);
    } else if (message instanceof PlacementAnswer answer) {
      writeAnswer(answer, out);
    } else if (message instanceof PlacementNews news) {
      out.tagged(PLACEMENT_NEWS, NEWS_COMPONENTS + 2)
          .number(news.number())
          .text(news.progress().name())
          .number(news.millis())
          .optional(news.named(), RelayValues::writeReportedLimit)
          .number(news.backoffMillis());
    }
  }

  static void write(CrashMessage message, PackedWriter out) {
    if (message instanceof UpstreamEnded ended) {
      RelayValues.writeRun(ended.upstream(), out.tagged(UPSTREAM_ENDED, 3));
      out.list(ended.lost(), RelayMessages::writeLost).text(ended.service());
    } else if (message instanceof RequestServed served) {
      RelayValues.writeKey(served.key(), out.tagged(REQUEST_SERVED, 1));
    } else if (message instanceof PartsSuspected suspected) {
      out.tagged(PARTS_SUSPECTED, 1).list(suspected.parts(), RelayMessages::writeSuspected);
    } else if (message instanceof PartsObserved observed) {
      out.tagged(PARTS_OBSERVED, 1).list(observed.parts(), RelayMessages::writeObserved);
    }
  }

  static PeerMessage read(int tag, PackedReader.Components components, PackedReader in) {
    switch (tag) {
      case ENTRY_POLL:
        components.consume(POLL_COMPONENTS);
        return readPoll(in, components);
      case ENTRY_UPDATE:
        components.consume(UPDATE_COMPONENTS);
        return readUpdate(in, components);
      case UPSTREAM_HEARD:
        components.consume(1);
        return new UpstreamHeard(RelayValues.readInstance(in));
      case ENTRY_LOADS:
        components.consume(2);
        return new EntryLoads(
            in.list(RelayMessages::readLoad), in.list(RelayMessages::readCachedPrefix));
      case PLACEMENT_ASK:
        components.consume(ASK_COMPONENTS);
        return readAsk(in, components);
      case PLACEMENT_ANSWER:
        components.consume(ANSWER_COMPONENTS);
        return new PlacementAnswer(
            in.number(),
            in.optionalText(),
            in.smallNumber(),
            in.smallNumber(),
            in.smallNumber(),
            in.smallNumber(),
            components.consumeIfPresent() ? in.smallNumber() : 0);
      case PLACEMENT_NEWS:
        components.consume(NEWS_COMPONENTS);
        return new PlacementNews(
            in.number(),
            RelayValues.constant(AttemptProgress.class, in.text()),
            in.smallNumber(),
            components.consumeIfPresent() ? in.optional(RelayValues::readReportedLimit) : null,
            components.consumeIfPresent() ? in.smallNumber() : 0);
      case UPSTREAM_ENDED:
        components.consume(2);
        return new UpstreamEnded(
            RelayValues.readRun(in),
            in.list(RelayMessages::readLost),
            components.consumeIfPresent() ? in.text() : "");
      case REQUEST_SERVED:
        components.consume(1);
        return new RequestServed(RelayValues.readKey(in));
      case PARTS_SUSPECTED:
        components.consume(1);
        return new PartsSuspected(in.list(RelayMessages::readSuspected));
      case PARTS_OBSERVED:
        components.consume(1);
        return new PartsObserved(in.list(RelayMessages::readObserved));
      case FORWARDED_BACKOFF:
        components.consume(2);
        return new ForwardedBackoff(RelayValues.readRun(in), in.smallNumber());
      default:
        throw PackedReader.unknown("message", tag);
    }
  }

  private static void writeAsk(PlacementAsk ask, PackedWriter out) {
    out.tagged(PLACEMENT_ASK, ASK_COMPONENTS + 2)
        .number(ask.number())
        .number(ask.group())
        .number(ask.groups())
        .text(ask.service())
        .text(ask.model())
        .text(ask.zone())
        .list(
            ask.beginnings(),
            (prefix, to) -> to.record(2).number(prefix.key()).number(prefix.tokens()))
        .number(ask.promptTokens())
        .number(ask.objectiveMillis())
        .list(ask.versions(), (version, to) -> to.text(version))
        .list(ask.excluded(), (engine, to) -> to.text(engine))
        .number(ask.lastsMillis())
        .text(ask.team())
        .number(ask.rank());
  }

  private static PlacementAsk readAsk(PackedReader in, PackedReader.Components remaining) {
    return new PlacementAsk(
        in.number(),
        in.smallNumber(),
        in.smallNumber(),
        in.text(),
        in.text(),
        in.text(),
        in.list(one -> one.record(2, from -> new PromptPrefix(from.number(), from.smallNumber()))),
        in.smallNumber(),
        in.smallNumber(),
        in.list(PackedReader::text),
        in.list(PackedReader::text),
        in.smallNumber(),
        remaining.consumeIfPresent() ? in.text() : "",
        remaining.consumeIfPresent() ? in.smallNumber() : 0);
  }

  private static void writeAnswer(PlacementAnswer answer, PackedWriter out) {
    out.tagged(PLACEMENT_ANSWER, ANSWER_COMPONENTS + 1)
        .number(answer.number())
        .optionalText(answer.upstream())
        .number(answer.waitMillis())
        .number(answer.workMillis())
        .number(answer.firstByteMillis())
        .number(answer.newTokens())
        .number(answer.shift());
  }

  private static void writePoll(EntryPoll poll, PackedWriter out) {
    // Most polls report no ages, and leave the component out so that idle traffic doesn't grow.
    boolean hasAges = !poll.rollOutAges().isEmpty();
    out.tagged(ENTRY_POLL, POLL_COMPONENTS + (hasAges ? 6 : 5))
        .text(poll.callerAddress())
        .text(poll.zone())
        .flag(poll.serving())
        .number(poll.incarnation())
        .instant(poll.sentAt())
        .number(poll.version())
        .number(poll.stateIndex())
        .number(poll.directoryEpoch())
        .number(poll.directorySequence())
        .flag(poll.searching())
        .flag(poll.busy())
        .list(poll.counts(), RelayValues::writeCounts)
        .number(poll.neighbourhoodVersion())
        .list(poll.limits(), RelayMessages::writeRateLimit)
        .list(poll.leaving(), RelayValues::writeRun)
        .number(poll.capacity().milliCores())
        .number(poll.capacity().linkKbits());
    if (hasAges) {
      out.list(poll.rollOutAges(), RelayValues::writeAge);
    }
  }

  private static EntryPoll readPoll(PackedReader in, PackedReader.Components remaining) {
    String callerAddress = in.text();
    String zone = in.text();
    boolean serving = in.flag();
    long incarnation = in.number();
    Instant sentAt = in.instant();
    long version = in.number();
    long stateIndex = in.number();
    long directoryEpoch = in.number();
    long directorySequence = in.number();
    boolean searching = in.flag();
    boolean busy = in.flag();
    List<VersionCounts> counts = in.list(RelayValues::readCounts);
    return new EntryPoll(
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
        remaining.consumeIfPresent() ? in.number() : 0,
        counts,
        remaining.consumeIfPresent() ? in.list(RelayMessages::readRateLimit) : List.of(),
        remaining.consumeIfPresent() ? in.list(RelayValues::readRun) : List.of(),
        remaining.consumeIfPresent() ? readCapacity(in, remaining) : EntryCapacity.UNKNOWN,
        remaining.consumeIfPresent() ? in.list(RelayValues::readAge) : List.of());
  }

  private static EntryCapacity readCapacity(PackedReader in, PackedReader.Components remaining) {
    int milliCores = in.smallNumber();
    return new EntryCapacity(milliCores, remaining.consumeIfPresent() ? in.smallNumber() : 0);
  }

  private static void writeRateLimit(UpstreamRateLimit limit, PackedWriter out) {
    RelayValues.writeRun(limit.upstream(), out.record(2));
    RelayValues.writeReportedLimit(limit.named(), out);
  }

  private static UpstreamRateLimit readRateLimit(PackedReader in) {
    return in.record(
        2,
        from ->
            new UpstreamRateLimit(RelayValues.readRun(from), RelayValues.readReportedLimit(from)));
  }

  private static void writeLoad(UpstreamLoad load, PackedWriter out) {
    out.record(3).text(load.upstream()).number(load.running()).number(load.waitingMillis());
  }

  private static UpstreamLoad readLoad(PackedReader in) {
    return in.record(
        3, from -> new UpstreamLoad(from.text(), from.smallNumber(), from.smallNumber()));
  }

  private static void writeCachedPrefix(CachedPrefix prompt, PackedWriter out) {
    out.record(2).text(prompt.upstream()).number(prompt.key());
  }

  private static CachedPrefix readCachedPrefix(PackedReader in) {
    return in.record(2, from -> new CachedPrefix(from.text(), from.number()));
  }

  private static void writeLost(LostRequest lost, PackedWriter out) {
    RelayValues.writeKey(lost.key(), out.record(LOST_COMPONENTS + 1));
    out.number(lost.sentMillis())
        .number(lost.lostMillis())
        .list(lost.parts(), (part, to) -> to.number(part));
  }

  private static LostRequest readLost(PackedReader in) {
    return in.extensibleRecord(
        LOST_COMPONENTS,
        (from, components) ->
            new LostRequest(
                RelayValues.readKey(from),
                from.smallNumber(),
                from.smallNumber(),
                components.consumeIfPresent() ? from.list(PackedReader::number) : List.of()));
  }

  private static void writeSuspected(SuspectedPart part, PackedWriter out) {
    RelayValues.writeKey(part.key(), out.record(3));
    out.text(part.service()).number(part.sinceMillis());
  }

  private static SuspectedPart readSuspected(PackedReader in) {
    return in.record(
        3, from -> new SuspectedPart(RelayValues.readKey(from), from.text(), from.smallNumber()));
  }

  private static void writeObserved(ObservedPart part, PackedWriter out) {
    RelayValues.writeKey(part.key(), out.record(4));
    out.number(part.servedMillis()).flag(part.answering()).number(part.otherAnswers());
  }

  private static ObservedPart readObserved(PackedReader in) {
    return in.record(
        4,
        from ->
            new ObservedPart(
                RelayValues.readKey(from), from.smallNumber(), from.flag(), from.smallNumber()));
  }

  private static void writeNeighbourhood(Neighbourhood neighbourhood, PackedWriter out) {
    out.record(8)
        .number(neighbourhood.version())
        .list(neighbourhood.callerAddresses(), (address, to) -> to.text(address))
        .list(neighbourhood.peers(), (peer, to) -> to.text(peer))
        .list(neighbourhood.schedulers(), (peer, to) -> to.text(peer))
        .number(neighbourhood.place().number())
        .number(neighbourhood.place().of())
        .list(neighbourhood.selectable(), RelayMessages::writeNamedEntry)
        .list(neighbourhood.forwarders(), (peer, to) -> to.text(peer));
  }

  private static void writeNamedEntry(NamedEntry entry, PackedWriter out) {
    out.record(3).text(entry.address()).text(entry.zone()).number(entry.weight());
  }

  private static NamedEntry readNamedEntry(PackedReader in) {
    return in.record(3, from -> new NamedEntry(from.text(), from.text(), from.smallNumber()));
  }

  private static Neighbourhood readNeighbourhood(PackedReader in) {
    return in.extensibleRecord(
        3,
        (from, remaining) ->
            new Neighbourhood(
                from.number(),
                from.list(PackedReader::text),
                from.list(PackedReader::text),
                remaining.consumeIfPresent() ? from.list(PackedReader::text) : List.of(),
                remaining.consumeIfPresent() ? readOrdinal(from, remaining) : EntryOrdinal.UNKNOWN,
                remaining.consumeIfPresent() ? from.list(RelayMessages::readNamedEntry) : List.of(),
                remaining.consumeIfPresent() ? from.list(PackedReader::text) : List.of()));
  }

  private static EntryOrdinal readOrdinal(PackedReader in, PackedReader.Components remaining) {
    int number = in.smallNumber();
    return remaining.consumeIfPresent()
        ? new EntryOrdinal(number, in.smallNumber())
        : EntryOrdinal.UNKNOWN;
  }

  private static void writeUpdate(EntryUpdate update, PackedWriter out) {
    out.tagged(ENTRY_UPDATE, UPDATE_COMPONENTS + 1)
        .optional(update.provenAt(), (time, to) -> to.instant(time))
        .number(update.stateIndex())
        .optional(update.configuration(), RelayValues::writeConfiguration)
        .optional(update.shared(), RelayMessages::writeShared);
    writeDirectory(update.directory(), out);
    out.list(update.controlNodes(), (node, to) -> to.text(node)).number(update.entries());
    out.optional(update.neighbourhood(), RelayMessages::writeNeighbourhood);
  }

  private static EntryUpdate readUpdate(PackedReader in, PackedReader.Components remaining) {
    return new EntryUpdate(
        in.optional(PackedReader::instant),
        in.number(),
        in.optional(RelayValues::readConfiguration),
        in.optional(RelayMessages::readShared),
        readDirectory(in),
        in.list(PackedReader::text),
        in.smallNumber(),
        remaining.consumeIfPresent() ? in.optional(RelayMessages::readNeighbourhood) : null);
  }

  private static void writeShared(SharedState shared, PackedWriter out) {
    out.record(5).list(shared.rollOuts(), RelayValues::writeRollOut);
    RelayValues.writeRuns(shared.leaving(), out);
    out.list(shared.evacuated(), (zone, to) -> to.text(zone))
        .list(shared.quarantined(), RelayValues::writeKey);
  }

  private static SharedState readShared(PackedReader in) {
    return in.extensibleRecord(
        2,
        (from, remaining) ->
            new SharedState(
                from.list(RelayValues::readRollOut),
                RelayValues.readRuns(from, remaining),
                remaining.consumeIfPresent() ? from.list(PackedReader::text) : List.of(),
                remaining.consumeIfPresent() ? from.list(RelayValues::readKey) : List.of()));
  }

  private static void writeDirectory(DirectoryChanges changes, PackedWriter out) {
    out.record(5)
        .number(changes.epoch())
        .number(changes.sequence())
        .flag(changes.whole())
        .flag(changes.settled())
        .list(changes.upstreams(), RelayValues::writeStatus);
  }

  private static DirectoryChanges readDirectory(PackedReader in) {
    return in.record(
        5,
        from ->
            new DirectoryChanges(
                from.number(),
                from.number(),
                from.flag(),
                from.flag(),
                from.list(RelayValues::readStatus)));
  }
}
