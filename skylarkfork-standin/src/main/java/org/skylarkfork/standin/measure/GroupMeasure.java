package org.skylarkfork.standin.measure;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongFunction;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.ConfigurationCommand;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.LedgerCommand;
import org.skylarkfork.core.command.StateMachine;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.core.configuration.ConfigurationMachine;
import org.skylarkfork.core.ledger.Bill;
import org.skylarkfork.core.ledger.ClaimOutcome;
import org.skylarkfork.core.ledger.LedgerBounds;
import org.skylarkfork.core.ledger.LedgerMachine;
import org.skylarkfork.core.ledger.NumberedBill;
import org.skylarkfork.core.request.AnswerMetadata;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.runtime.loop.MonotonicClock;

/**
 * Measures a replicated group of real loops and disks in one process: commands a second, processor
 * time and bytes of the leader a command, and recovery.
 *
 * <p>Arguments: a folder, the number of voters, what is submitted ({@code changes}, {@code claims},
 * {@code bills1}, {@code bills64}, {@code bills512}), the most commands that wait, the most a
 * second (0 for no bound), and seconds; or {@code recovery} and the number of changes after the
 * voters.
 */
public final class GroupMeasure {

  private static final String CLIENT = "client";
  private static final long WARM_UP_MILLIS = 5_000;
  private static final long POLL_MILLIS = 5;
  private static final long HOLD_MILLIS = 30_000;
  private static final int TEAMS = 100;
  private static final int UPSTREAMS = 1_000;
  private static final int ANSWER_BYTES = 512;
  private static final int RECOVERY_WINDOW = 256;

  private final Path folder;
  private final GroupId group;
  private final List<String> voters = new ArrayList<>();
  private final AtomicReference<Throwable> failure = new AtomicReference<>();
  private final MonotonicClock clock = new MonotonicClock(InstantSource.system(), System::nanoTime);
  private final Map<String, GroupNode> nodes = new LinkedHashMap<>();
  private @Nullable SubmittingPart load;

  private GroupMeasure(Path folder, int voterCount, GroupId group) throws IOException {
    this.folder = folder;
    this.group = group;
    for (int number = 0; number < voterCount; number++) {
      voters.add("voter-" + number);
      Files.createDirectories(folder.resolve("voter-" + number));
    }
  }

  /** Runs one point and prints one JSON line. */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory(Path.of(arguments[0]), "group");
    int voters = Integer.parseInt(arguments[1]);
    if (arguments[2].equals("recovery")) {
      GroupMeasure measure = new GroupMeasure(folder, voters, GroupId.CONFIGURATION);
      measure.recovery(Integer.parseInt(arguments[3]));
    } else {
      boolean ledger = !arguments[2].equals("changes");
      GroupMeasure measure =
          new GroupMeasure(folder, voters, ledger ? GroupId.LEDGER : GroupId.CONFIGURATION);
      measure.rate(
          arguments[2],
          Integer.parseInt(arguments[3]),
          Double.parseDouble(arguments[4]),
          Integer.parseInt(arguments[5]));
    }
    System.exit(0);
  }

  private void rate(String kind, int window, double perSecond, int seconds)
      throws InterruptedException {
    open(commands(kind), window, perSecond, Long.MAX_VALUE);
    TimeUnit.MILLISECONDS.sleep(WARM_UP_MILLIS);
    GroupNode leader = leader();
    final Reading before = read(leader);
    TimeUnit.SECONDS.sleep(seconds);
    Reading after = read(leader);
    check();
    double commands = after.answered - before.answered;
    double elapsed = (after.wallNanos - before.wallNanos) / 1e9;
    int bills = kind.startsWith("bills") ? Integer.parseInt(kind.substring(5)) : 0;
    print(
        "{\"measure\":\"group\",\"voters\":%d,\"kind\":\"%s\",\"window\":%d,\"limit\":%.0f,"
            + "\"commandsPerSecond\":%.0f,\"billsPerSecond\":%.0f,\"refused\":%d,"
            + "\"leaderLoopCorePercent\":%.2f,\"leaderLoopMicrosPerCommand\":%.1f,"
            + "\"allVotersLoopMicrosPerCommand\":%.1f,"
            + "\"processMicrosPerCommand\":%.1f,\"leaderBytesOutPerCommand\":%.0f,"
            + "\"leaderBytesOutPerSecond\":%.0f,\"leaderSyncsPerSecond\":%.1f,"
            + "\"diskBytesPerCommand\":%.0f,\"sameLeader\":%b}",
        voters.size(),
        kind,
        window,
        perSecond,
        commands / elapsed,
        commands * bills / elapsed,
        after.refused - before.refused,
        (after.loopNanos - before.loopNanos) / elapsed / 1e7,
        (after.loopNanos - before.loopNanos) / commands / 1e3,
        (after.allLoopNanos - before.allLoopNanos) / commands / 1e3,
        (after.processNanos - before.processNanos) / commands / 1e3,
        (after.bytesOut - before.bytesOut) / commands,
        (after.bytesOut - before.bytesOut) / elapsed,
        (after.syncs - before.syncs) / elapsed,
        (after.diskBytes - before.diskBytes) / commands,
        leader.leads());
  }

  private void recovery(int changes) throws InterruptedException {
    open(commands("changes"), RECOVERY_WINDOW, 0, changes);
    while (submitting().answered() < changes) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      check();
    }
    TimeUnit.MILLISECONDS.sleep(WARM_UP_MILLIS);
    final long refused = submitting().refused();
    nodes.values().forEach(GroupNode::close);
    final long bytes = bytes(voters.get(0));
    final long begun = System.nanoTime();
    open(commands("changes"), 0, 0, 0);
    leader();
    while (voters.stream().anyMatch(voter -> applied(voter) < changes)) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      check();
    }
    print(
        "{\"measure\":\"group-recovery\",\"voters\":%d,\"changes\":%d,\"refused\":%d,"
            + "\"millisUntilAllApplied\":%.0f,\"diskBytesPerVoter\":%d}",
        voters.size(), changes, refused, (System.nanoTime() - begun) / 1e6, bytes);
  }

  private long applied(String voter) {
    return nodes.get(voter).status().commitIndex();
  }

  private void open(LongFunction<Command> commands, int window, double perSecond, long most) {
    nodes.clear();
    for (String voter : voters) {
      nodes.put(
          voter,
          new GroupNode(
              voter,
              GroupNode.setup(group, voters, machine()),
              nodes,
              folder.resolve(voter),
              clock,
              failure));
    }
    GroupNode client =
        new GroupNode(CLIENT, GroupNode.setup(group, voters, null), nodes, null, clock, failure);
    nodes.put(CLIENT, client);
    load =
        new SubmittingPart(group, client.consensus.submitter(), commands, window, perSecond, most);
    voters.forEach(voter -> nodes.get(voter).start(List.of()));
    client.start(List.of(load));
  }

  private SubmittingPart submitting() {
    if (load == null) {
      throw new IllegalStateException("open the group first");
    }
    return load;
  }

  private StateMachine machine() {
    return group.equals(GroupId.LEDGER)
        ? new LedgerMachine(LedgerBounds.DEFAULT)
        : new ConfigurationMachine();
  }

  private GroupNode leader() throws InterruptedException {
    while (true) {
      check();
      for (String voter : voters) {
        if (nodes.get(voter).leads()) {
          return nodes.get(voter);
        }
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
  }

  private void check() {
    Throwable thrown = failure.get();
    if (thrown != null) {
      throw new IllegalStateException("a loop failed", thrown);
    }
  }

  private Reading read(GroupNode leader) {
    var system =
        (com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    return new Reading(
        System.nanoTime(),
        submitting().answered(),
        submitting().refused(),
        leader.nanos(),
        voters.stream().mapToLong(voter -> nodes.get(voter).nanos()).sum(),
        system.getProcessCpuTime(),
        leader.bytesOut.get(),
        leader.syncs(),
        bytes(leader.name));
  }

  private long bytes(String voter) {
    try (Stream<Path> files = Files.walk(folder.resolve(voter))) {
      return files.filter(Files::isRegularFile).mapToLong(file -> file.toFile().length()).sum();
    } catch (IOException | java.io.UncheckedIOException vanished) {
      return 0;
    }
  }

  private static LongFunction<Command> commands(String kind) {
    if (kind.equals("changes")) {
      return GroupMeasure::change;
    }
    if (kind.equals("claims")) {
      return GroupMeasure::claim;
    }
    int size = Integer.parseInt(kind.substring("bills".length()));
    return number -> bills(number, size);
  }

  private static Command change(long number) {
    String upstream = "engine-" + number % UPSTREAMS;
    ConfigurationChange change =
        number / UPSTREAMS % 2 == 0
            ? new ConfigurationChange.DrainUpstream(upstream)
            : new ConfigurationChange.UndrainUpstream(upstream);
    return new ConfigurationCommand.SubmitChange(
        "change-" + number, "measure", null, null, change, "hash-" + number);
  }

  /** Claims and outcomes in turn, the outcome some claims later so that its claim is there. */
  private static Command claim(long number) {
    long pair = number / 2;
    if (number % 2 == 0) {
      return new LedgerCommand.Claim(
          "team-" + pair % TEAMS,
          "key-" + pair,
          "request-" + pair,
          "h".repeat(64),
          CLIENT,
          HOLD_MILLIS);
    }
    AnswerMetadata facts =
        new AnswerMetadata("request-" + pair, "issue", null, "s-1", 1, 0, null, null);
    Bytes body = new Bytes(new byte[ANSWER_BYTES]);
    return new LedgerCommand.RecordOutcome(
        "team-" + pair % TEAMS,
        "key-" + pair,
        "request-" + pair,
        new ClaimOutcome.Answered(200, List.of(), body, facts));
  }

  private static Command bills(long number, int size) {
    List<NumberedBill> bills = new ArrayList<>();
    for (int place = 0; place < size; place++) {
      long bill = number * size + place + 1;
      String team = "team-" + bill % TEAMS;
      String id = "entry-001-" + bill;
      bills.add(new NumberedBill(bill, new Bill(id, team, id, "draft", "2", 1_000, false)));
    }
    long settled = Math.max(0, (number - RECOVERY_WINDOW) * size);
    return new LedgerCommand.RecordBills("entry-001", 1, settled, bills);
  }

  private static void print(String format, Object... values) {
    System.out.println(String.format(Locale.ROOT, format, values));
  }

  private record Reading(
      long wallNanos,
      long answered,
      long refused,
      long loopNanos,
      long allLoopNanos,
      long processNanos,
      long bytesOut,
      long syncs,
      long diskBytes) {}
}
