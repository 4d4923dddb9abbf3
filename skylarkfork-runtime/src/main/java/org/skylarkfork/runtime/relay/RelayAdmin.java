package org.skylarkfork.runtime.relay;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.Member;
import org.skylarkfork.core.command.RelayCommand;
import org.skylarkfork.core.command.RelayResult;
import org.skylarkfork.core.consensus.GroupStatus;
import org.skylarkfork.core.consensus.Role;
import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.relay.LimitedUpstream;
import org.skylarkfork.core.relay.RelayConfiguration;
import org.skylarkfork.core.relay.RelayConfigurationValidator;
import org.skylarkfork.core.relay.UpstreamInstance;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.codec.CodecException;

/** Answers the relay's own calls to control VMs, which are JSON under {@code /relay/v1}. */
public final class RelayAdmin implements ControlDialect {

  private static final String PREFIX = "/relay/v1/";
  private static final String JSON = "application/json";
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;
  private static final int HEXADECIMAL = 16;

  private final Codec codec;

  /**
   * Creates the handler of calls.
   *
   * @param codec reads and writes JSON
   */
  public RelayAdmin(Codec codec) {
    this.codec = codec;
  }

  /**
   * An operator's order to roll out another version of a service.
   *
   * @param target version to roll out
   * @param deadlineMillis time within which the roll-out should be decided, in milliseconds
   */
  public record RollOutOrder(String target, long deadlineMillis) {}

  private record Entries(List<String> entries) {}

  /**
   * The state of a replicated group as one of its replicas knows it.
   *
   * @param instance number of the replica's present disk
   * @param role role of the replica
   * @param leader peer name of the leader, or null if the replica knows no leader
   * @param term newest term known to the replica
   * @param commitIndex last log index that the replica knows to be committed
   * @param membersAgreed whether the replica knows its voters and learners to be committed
   * @param voters replicas that count towards the quorum, each with the number of its disk
   * @param learners replicas that receive the log without voting
   */
  public record Group(
      long instance,
      Role role,
      @Nullable String leader,
      long term,
      long commitIndex,
      boolean membersAgreed,
      List<Member> voters,
      List<Member> learners) {}

  private record Problem(String error) {}

  private record Version(long version) {}

  private record Quarantined(String request, Instant since) {}

  private record Quarantine(List<Quarantined> requests) {}

  private record Limits(List<LimitedUpstream> upstreams) {}

  @Override
  public CompletableFuture<HttpReply> answer(HttpCall call, ControlCalls control) {
    if (!call.path().startsWith(PREFIX)) {
      return completed(error(NOT_FOUND, "calls begin with " + PREFIX));
    }
    String[] path = call.path().substring(PREFIX.length()).split("/");
    if (path.length == 0) {
      return completed(error(NOT_FOUND, "a call names what it asks for"));
    }
    String last = path.length > 1 ? path[1] : "";
    try {
      return switch (call.method() + " " + path[0]) {
        case "PUT configuration" -> putConfiguration(call, control);
        case "GET configuration" -> readConfiguration(control);
        case "PUT upstreams" -> heartbeat(last, call, control);
        case "DELETE upstreams" ->
            submit(control, new RelayCommand.UpstreamLeaves(control.runsUntilNow(last)));
        case "GET group" -> completed(group(control));
        case "GET limits" -> completed(limits(control));
        case "GET entries" -> completed(lookUpEntries(call, control));
        case "PUT roll-outs" -> beginRollOut(last, call, control);
        case "GET roll-outs" -> submit(control, new RelayCommand.ReadRollOut(last));
        case "PUT evacuations" -> evacuate(last, new RelayCommand.EvacuateZone(last), control);
        case "DELETE evacuations" -> evacuate(last, new RelayCommand.TakeZoneBack(last), control);
        case "GET evacuations" -> submit(control, new RelayCommand.ReadEvacuations());
        case "PUT quarantine" ->
            submit(control, new RelayCommand.QuarantineRequest(requestKey(last, call)));
        case "DELETE quarantine" ->
            submit(control, new RelayCommand.LiftQuarantine(requestKey(last, call)));
        case "GET quarantine" ->
            mapResult(control.submit(new RelayCommand.ReadQuarantine()), this::quarantine);
        default -> completed(error(NOT_FOUND, "there is no such call; see the page for operators"));
      };
    } catch (CodecException malformed) {
      return completed(error(BAD_REQUEST, String.valueOf(malformed.getMessage())));
    } catch (NumberFormatException malformed) {
      return completed(error(BAD_REQUEST, "the path ends with the request's hash in hexadecimal"));
    }
  }

  private static RequestKey requestKey(String hash, HttpCall call) {
    return new RequestKey(call.parameter("team"), Long.parseUnsignedLong(hash, HEXADECIMAL));
  }

  @Override
  public HttpReply lookUpEntries(HttpCall call, EntryDirectory directory) {
    boolean known = call.method().equals("GET") && call.path().equals(PREFIX + "entries");
    return known
        ? json(new Entries(directory.callerAddresses(call.parameter("zone"), call.requester())))
        : error(NOT_FOUND, "only entries are looked up here; ask a control VM");
  }

  private <T> T body(HttpCall call, Class<T> type) {
    return codec.fromCompleteJson(new String(call.body(), StandardCharsets.UTF_8), type);
  }

  private CompletableFuture<HttpReply> putConfiguration(HttpCall call, ControlCalls control) {
    RelayConfiguration configuration = body(call, RelayConfiguration.class);
    List<String> problems = RelayConfigurationValidator.problems(configuration);
    return problems.isEmpty()
        ? submit(control, new RelayCommand.PutConfiguration(configuration, call.body()))
        : completed(error(BAD_REQUEST, String.join("; ", problems)));
  }

  private CompletableFuture<HttpReply> readConfiguration(ControlCalls control) {
    return mapResult(
        control.submit(new RelayCommand.ReadConfiguration()),
        result ->
            result instanceof RelayResult.ConfigurationRead read && read.version() > 0
                ? new HttpReply(OK, JSON, read.document())
                : error(NOT_FOUND, "there is no configuration yet; put one"));
  }

  /**
   * Returns the group's members, so that operators can check that all intended voters are listed
   * before replacing a control VM.
   */
  private HttpReply group(ControlCalls control) {
    GroupStatus status = control.group();
    if (status == null) {
      return error(UNAVAILABLE, "this control VM knows of no group yet; ask another one");
    }
    return json(
        new Group(
            status.instance(),
            status.role(),
            status.leader(),
            status.term(),
            status.commitIndex(),
            status.membersCommitted(),
            status.members().voters(),
            status.members().learners()));
  }

  private HttpReply limits(ControlCalls control) {
    List<LimitedUpstream> limited = control.limitedUpstreams();
    return limited == null
        ? error(UNAVAILABLE, "only the control VM that leads is told of limits; ask another one")
        : json(new Limits(limited));
  }

  private CompletableFuture<HttpReply> heartbeat(String id, HttpCall call, ControlCalls control) {
    UpstreamInstance instance = body(call, UpstreamInstance.class);
    if (!id.equals(instance.id())) {
      return completed(error(BAD_REQUEST, "the path and the body name different upstreams"));
    }
    if (!UpstreamAddress.isValid(instance.address())) {
      return completed(error(BAD_REQUEST, "the address is no IP number with a port; send one"));
    }
    control.heartbeat(instance);
    return completed(json(new Version(instance.sequence())));
  }

  private CompletableFuture<HttpReply> beginRollOut(
      String service, HttpCall call, ControlCalls control) {
    RollOutOrder order = body(call, RollOutOrder.class);
    if (order.deadlineMillis() < 0) {
      return completed(error(BAD_REQUEST, "the deadline is negative; send one from 0"));
    }
    return submit(
        control, new RelayCommand.BeginRollOut(service, order.target(), order.deadlineMillis()));
  }

  private CompletableFuture<HttpReply> evacuate(
      String zone, RelayCommand command, ControlCalls control) {
    return control.isZone(zone)
        ? submit(control, command)
        : completed(error(NOT_FOUND, "no availability zone is called " + zone));
  }

  private CompletableFuture<HttpReply> submit(ControlCalls control, RelayCommand command) {
    return mapResult(control.submit(command), this::reply);
  }

  /** Formats each quarantined request's key as the logs and the command line do. */
  private HttpReply quarantine(CommandResult result) {
    List<Quarantined> requests =
        result instanceof RelayResult.QuarantineRead read
            ? read.requests().stream()
                .map(request -> new Quarantined(request.key().toString(), request.since()))
                .toList()
            : List.of();
    return json(new Quarantine(requests));
  }

  private HttpReply reply(CommandResult result) {
    return result instanceof CommandResult.Rejected rejected
        ? error(CONFLICT, rejected.remedy())
        : json(result);
  }

  private CompletableFuture<HttpReply> mapResult(
      CompletableFuture<CommandResult> result, Function<CommandResult, HttpReply> reply) {
    return result.handle(
        (value, failure) -> failure == null ? reply.apply(value) : unavailable(failure));
  }

  private HttpReply unavailable(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return error(UNAVAILABLE, String.valueOf(cause.getMessage()));
  }

  private static CompletableFuture<HttpReply> completed(HttpReply reply) {
    return CompletableFuture.completedFuture(reply);
  }

  private HttpReply error(int status, String detail) {
    return new HttpReply(status, JSON, bytes(new Problem(detail)));
  }

  private HttpReply json(Object body) {
    return new HttpReply(OK, JSON, bytes(body));
  }

  private byte[] bytes(Object body) {
    return codec.toJson(body).getBytes(StandardCharsets.UTF_8);
  }
}
