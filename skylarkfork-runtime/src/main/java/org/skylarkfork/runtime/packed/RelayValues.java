package org.skylarkfork.runtime.packed;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.relay.ColdStart;
import org.skylarkfork.core.relay.EngineProfile;
import org.skylarkfork.core.relay.Evacuation;
import org.skylarkfork.core.relay.ModelPrice;
import org.skylarkfork.core.relay.QuarantinedRequest;
import org.skylarkfork.core.relay.RateLimit;
import org.skylarkfork.core.relay.RelayConfiguration;
import org.skylarkfork.core.relay.RelayLimits;
import org.skylarkfork.core.relay.RelayRoute;
import org.skylarkfork.core.relay.RelayService;
import org.skylarkfork.core.relay.RelayTeam;
import org.skylarkfork.core.relay.ReportedLimit;
import org.skylarkfork.core.relay.RouteKind;
import org.skylarkfork.core.relay.UpstreamCondition;
import org.skylarkfork.core.relay.UpstreamInstance;
import org.skylarkfork.core.relay.UpstreamStatus;
import org.skylarkfork.core.relay.WeightedService;
import org.skylarkfork.core.rollout.AttemptCounts;
import org.skylarkfork.core.rollout.RollOutAge;
import org.skylarkfork.core.rollout.RollOutPhase;
import org.skylarkfork.core.rollout.ServiceRollOut;
import org.skylarkfork.core.rollout.VersionCounts;
import org.skylarkfork.core.rollout.VersionTotals;
import org.skylarkfork.core.upstream.UpstreamRun;
import org.skylarkfork.runtime.codec.CodecException;

/** Packing of the relay's values: configurations, upstreams and roll-outs. */
final class RelayValues {

  private static final int ROUTE_COMPONENTS = 14;

  /** Components of a service in each version; later versions add its cold-start limit. */
  private static final int SERVICE_COMPONENTS = 4;

  /** Components of an instance in each version; later versions add its start time and cold time. */
  private static final int INSTANCE_COMPONENTS = 7;

  /** Number of components of a roll-out in each version of the format. */
  private static final int ROLL_OUT_COMPONENTS = 4;

  /** Number of components of a version's counts as older daemons report them. */
  private static final int COUNTS_COMPONENTS = 5;

  /**
   * Cache of the configuration that was serialized or deserialized last.
   *
   * <p>A leader writes the same configuration to its disk, to each follower and to each entry. With
   * 63 entries and 355 routes, serializing it each time would take seconds of CPU time.
   */
  private static volatile @Nullable Encoded lastEncoded;

  private RelayValues() {}

  static <E extends Enum<E>> E constant(Class<E> type, String name) {
    try {
      return Enum.valueOf(type, name);
    } catch (IllegalArgumentException unknown) {
      throw new CodecException(
          CodecException.Kind.UNKNOWN_TYPE,
          "no constant of " + type.getSimpleName() + " is named " + name,
          unknown);
    }
  }

  /** A configuration and its serialized form. */
  private record Encoded(RelayConfiguration configuration, byte[] bytes) {}

  static void writeConfiguration(RelayConfiguration configuration, PackedWriter out) {
    out.bytes(encoded(configuration));
  }

  private static byte[] encoded(RelayConfiguration configuration) {
    Encoded cached = lastEncoded;
    if (cached == null || cached.configuration() != configuration) {
      PackedWriter out = new PackedWriter();
      writeComponents(configuration, out);
      cached = new Encoded(configuration, out.toBytes());
      lastEncoded = cached;
    }
    return cached.bytes();
  }

  static RelayConfiguration readConfiguration(PackedReader in) {
    byte[] bytes = in.bytes();
    PackedReader components = new PackedReader(bytes);
    RelayConfiguration configuration = readComponents(components);
    components.expectEnd();
    lastEncoded = new Encoded(configuration, bytes);
    return configuration;
  }

  private static void writeComponents(RelayConfiguration configuration, PackedWriter out) {
    out.record(5)
        .number(configuration.version())
        .list(configuration.routes(), RelayValues::writeRoute)
        .list(configuration.services(), RelayValues::writeService)
        .list(configuration.teams(), RelayValues::writeTeam);
    writeLimits(configuration.limits(), out);
  }

  private static RelayConfiguration readComponents(PackedReader in) {
    return in.record(
        5,
        from ->
            new RelayConfiguration(
                from.number(),
                from.list(RelayValues::readRoute),
                from.list(RelayValues::readService),
                from.list(RelayValues::readTeam),
                readLimits(from)));
  }

  private static void writeRoute(RelayRoute route, PackedWriter out) {
    out.record(ROUTE_COMPONENTS)
        .text(route.name())
        .text(route.host())
        .text(route.pathPrefix())
        .text(route.kind().name())
        .list(route.services(), RelayValues::writeWeighted)
        .number(route.timeoutMillis())
        .number(route.objectiveMillis())
        .number(route.pauseMillis())
        .number(route.maxAttempts())
        .number(route.priority())
        .flag(route.isPublic())
        .flag(route.sticky())
        .flag(route.resumable())
        .list(route.models(), (model, to) -> to.text(model));
  }

  private static RelayRoute readRoute(PackedReader in) {
    return in.record(
        ROUTE_COMPONENTS,
        from ->
            new RelayRoute(
                from.text(),
                from.text(),
                from.text(),
                constant(RouteKind.class, from.text()),
                from.list(RelayValues::readWeighted),
                from.smallNumber(),
                from.smallNumber(),
                from.smallNumber(),
                from.smallNumber(),
                from.smallNumber(),
                from.flag(),
                from.flag(),
                from.flag(),
                from.list(PackedReader::text)));
  }

  private static void writeWeighted(WeightedService target, PackedWriter out) {
    out.record(2).text(target.service()).number(target.weight());
  }

  private static WeightedService readWeighted(PackedReader in) {
    return in.record(2, from -> new WeightedService(from.text(), from.smallNumber()));
  }

  private static void writeService(RelayService service, PackedWriter out) {
    out.record(SERVICE_COMPONENTS + 2)
        .text(service.name())
        .text(service.healthPath())
        .number(service.maxConnections())
        .optional(service.engine(), RelayValues::writeEngine)
        .number(service.cold().millis())
        .real(service.cold().perSecond());
  }

  private static RelayService readService(PackedReader in) {
    return in.extensibleRecord(
        SERVICE_COMPONENTS,
        (from, remaining) ->
            new RelayService(
                from.text(),
                from.text(),
                from.smallNumber(),
                from.optional(RelayValues::readEngine),
                readColdStart(from, remaining)));
  }

  private static ColdStart readColdStart(PackedReader in, PackedReader.Components remaining) {
    if (!remaining.consumeIfPresent()) {
      return ColdStart.NONE;
    }
    int millis = in.smallNumber();
    return new ColdStart(millis, remaining.consumeIfPresent() ? in.real() : 0);
  }

  private static void writeEngine(EngineProfile engine, PackedWriter out) {
    out.record(3)
        .number(engine.slots())
        .number(engine.memoryTokens())
        .list(engine.models(), RelayValues::writePrice);
  }

  private static EngineProfile readEngine(PackedReader in) {
    return in.record(
        3,
        from ->
            new EngineProfile(
                from.smallNumber(), from.number(), from.list(RelayValues::readPrice)));
  }

  private static void writePrice(ModelPrice price, PackedWriter out) {
    out.record(2).text(price.name()).real(price.cost());
  }

  private static ModelPrice readPrice(PackedReader in) {
    return in.record(2, from -> new ModelPrice(from.text(), from.real()));
  }

  private static void writeTeam(RelayTeam team, PackedWriter out) {
    out.record(3)
        .text(team.name())
        .list(team.keys(), (key, to) -> to.text(key))
        .optionalNumber(team.priority());
  }

  private static RelayTeam readTeam(PackedReader in) {
    return in.record(
        3,
        from -> new RelayTeam(from.text(), from.list(PackedReader::text), from.optionalNumber()));
  }

  private static void writeLimits(RelayLimits limits, PackedWriter out) {
    out.record(4)
        .number(limits.maxHeaderBytes())
        .number(limits.maxBodyBytes())
        .number(limits.headerTimeoutMillis())
        .number(limits.idleTimeoutMillis());
  }

  private static RelayLimits readLimits(PackedReader in) {
    return in.record(
        4,
        from ->
            new RelayLimits(
                from.smallNumber(), from.smallNumber(), from.smallNumber(), from.smallNumber()));
  }

  static void writeRollOut(ServiceRollOut rollOut, PackedWriter out) {
    out.record(ROLL_OUT_COMPONENTS + 4)
        .text(rollOut.service())
        .text(rollOut.target())
        .number(rollOut.deadlineMillis())
        .text(rollOut.phase().name())
        .number(rollOut.startIndex())
        .optional(rollOut.baseline(), RelayValues::writeTotals)
        .list(rollOut.rolledBack(), (version, to) -> to.text(version))
        .number(rollOut.sessionShare());
  }

  static ServiceRollOut readRollOut(PackedReader in) {
    return in.extensibleRecord(
        ROLL_OUT_COMPONENTS,
        (from, components) ->
            new ServiceRollOut(
                from.text(),
                from.text(),
                from.number(),
                constant(RollOutPhase.class, from.text()),
                components.consumeIfPresent() ? from.number() : 0,
                components.consumeIfPresent() ? from.optional(RelayValues::readTotals) : null,
                components.consumeIfPresent() ? from.list(PackedReader::text) : List.of(),
                components.consumeIfPresent() ? from.smallNumber() : 0));
  }

  static void writeAge(RollOutAge age, PackedWriter out) {
    out.record(4)
        .text(age.service())
        .number(age.startIndex())
        .number(age.millis())
        .number(age.movedMillis());
  }

  static RollOutAge readAge(PackedReader in) {
    return in.record(
        4, from -> new RollOutAge(from.text(), from.number(), from.number(), from.number()));
  }

  static void writeTotals(VersionTotals totals, PackedWriter out) {
    out.record(3)
        .number(totals.answers())
        .number(totals.failures())
        .number(totals.firstByteMillis());
  }

  static VersionTotals readTotals(PackedReader in) {
    return in.record(3, from -> new VersionTotals(from.number(), from.number(), from.number()));
  }

  static void writeEvacuation(Evacuation evacuation, PackedWriter out) {
    out.record(2).text(evacuation.zone()).instant(evacuation.since());
  }

  static Evacuation readEvacuation(PackedReader in) {
    return in.record(2, from -> new Evacuation(from.text(), from.instant()));
  }

  static void writeKey(RequestKey key, PackedWriter out) {
    out.record(2).text(key.team()).number(key.content());
  }

  static RequestKey readKey(PackedReader in) {
    return in.record(2, from -> new RequestKey(from.text(), from.number()));
  }

  static void writeQuarantined(QuarantinedRequest request, PackedWriter out) {
    writeKey(request.key(), out.record(2));
    out.instant(request.since());
  }

  static QuarantinedRequest readQuarantined(PackedReader in) {
    return in.record(2, from -> new QuarantinedRequest(readKey(from), from.instant()));
  }

  static void writeRun(UpstreamRun run, PackedWriter out) {
    out.record(2).text(run.id()).number(run.bornMillis());
  }

  static UpstreamRun readRun(PackedReader in) {
    return in.record(2, from -> new UpstreamRun(from.text(), from.number()));
  }

  static void writeInstance(UpstreamInstance instance, PackedWriter out) {
    out.record(INSTANCE_COMPONENTS + 2)
        .text(instance.id())
        .text(instance.service())
        .text(instance.address())
        .text(instance.zone())
        .text(instance.version())
        .number(instance.slots())
        .number(instance.sequence())
        .number(instance.bornMillis())
        .number(instance.coldMillis());
  }

  static UpstreamInstance readInstance(PackedReader in) {
    return in.extensibleRecord(
        INSTANCE_COMPONENTS,
        (from, remaining) ->
            new UpstreamInstance(
                from.text(),
                from.text(),
                from.text(),
                from.text(),
                from.text(),
                from.smallNumber(),
                from.number(),
                remaining.consumeIfPresent() ? from.number() : 0,
                remaining.consumeIfPresent() ? from.number() : 0));
  }

  /** Writes the ids as versions without start times read them, then the start times. */
  static void writeRuns(List<UpstreamRun> runs, PackedWriter out) {
    out.list(runs, (run, to) -> to.text(run.id()));
    out.list(runs, (run, to) -> to.number(run.bornMillis()));
  }

  static List<UpstreamRun> readRuns(PackedReader in, PackedReader.Components remaining) {
    List<String> ids = in.list(PackedReader::text);
    List<Long> startMillis =
        remaining.consumeIfPresent() ? in.list(PackedReader::number) : List.of();
    List<UpstreamRun> runs = new ArrayList<>();
    for (int index = 0; index < ids.size(); index++) {
      String id = ids.get(index);
      runs.add(
          index < startMillis.size()
              ? new UpstreamRun(id, startMillis.get(index))
              : UpstreamRun.allRunsOf(id));
    }
    return runs;
  }

  static void writeStatus(UpstreamStatus status, PackedWriter out) {
    writeInstance(status.instance(), out.record(3));
    out.text(status.condition().name()).optional(status.named(), RelayValues::writeReportedLimit);
  }

  static UpstreamStatus readStatus(PackedReader in) {
    return in.extensibleRecord(
        2,
        (from, remaining) ->
            new UpstreamStatus(
                readInstance(from),
                constant(UpstreamCondition.class, from.text()),
                remaining.consumeIfPresent()
                    ? from.optional(RelayValues::readReportedLimit)
                    : null));
  }

  static void writeReportedLimit(ReportedLimit reported, PackedWriter out) {
    out.record(2).real(reported.limit().perSecond()).number(reported.ageMillis());
  }

  static ReportedLimit readReportedLimit(PackedReader in) {
    return in.record(2, from -> new ReportedLimit(new RateLimit(from.real()), from.number()));
  }

  static void writeCounts(VersionCounts counts, PackedWriter out) {
    out.record(COUNTS_COMPONENTS + 1)
        .text(counts.service())
        .text(counts.version())
        .number(counts.answers())
        .number(counts.failures())
        .number(counts.firstByteMillis());
    writeAttempts(counts.attempts(), out);
  }

  static VersionCounts readCounts(PackedReader in) {
    return in.extensibleRecord(
        COUNTS_COMPONENTS,
        (from, components) ->
            new VersionCounts(
                from.text(),
                from.text(),
                from.number(),
                from.number(),
                from.number(),
                components.consumeIfPresent() ? readAttempts(from) : AttemptCounts.NONE));
  }

  private static void writeAttempts(AttemptCounts attempts, PackedWriter out) {
    out.record(6)
        .number(attempts.sent())
        .number(attempts.open())
        .number(attempts.unanswered())
        .number(attempts.waitedMillis())
        .number(attempts.abandoned())
        .number(attempts.abandonedMillis());
  }

  private static AttemptCounts readAttempts(PackedReader in) {
    return in.record(
        6,
        from ->
            new AttemptCounts(
                from.number(),
                from.number(),
                from.number(),
                from.number(),
                from.number(),
                from.number()));
  }
}
