package org.skylarkfork.core.order;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.OrderCommand;
import org.skylarkfork.core.command.OrderResult.OverBudget;
import org.skylarkfork.core.command.OrderResult.StaleLease;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.configuration.RollOut;
import org.skylarkfork.core.consensus.Submitter;
import org.skylarkfork.core.event.ConsensusEvent.SubmissionAnswered;
import org.skylarkfork.core.event.ConsensusEvent.SubmissionFailed;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent.Tick;
import org.skylarkfork.core.event.UpstreamEvent.OrderAnswered;
import org.skylarkfork.core.order.OrderDispatcher.OrderState_;
import org.skylarkfork.core.order.RollOutPlanner.PlannedOrder;
import org.skylarkfork.core.order.RollOutPlanner.RequiredWork;
import org.skylarkfork.core.upstream.UpstreamDirectory;

/**
 * Gives orders to engines while this daemon holds the lease, and so prepares and ends roll-outs.
 *
 * <p>Each order is recorded before it is sent. Whoever holds the lease next finds the recorded
 * orders, asks the engines' announcements what became of them and goes on. It runs on daemons that
 * replicate the configuration group.
 */
public final class OrderPart implements Part {

  private static final Duration LOOK_EVERY = Duration.ofMillis(200);
  private static final Duration SUBMISSION_TRY = Duration.ofSeconds(5);

  private final OrderSettings settings;
  private final OrderMachine machine;
  private final ConfigurationView configuration;
  private final UpstreamDirectory directory;
  private final Submitter submitter;
  private final LeaseHolder lease;
  private final RollOutPlanner planner;
  private final OrderDispatcher dispatcher;
  private final Map<Long, OrderCommand> submitted = new HashMap<>();
  private final Map<RollOut, Duration> endedSince = new HashMap<>();
  private Duration nextLookAt = Duration.ZERO;
  private Duration nextLoadAt = Duration.ZERO;
  private long orders;

  /**
   * Makes the part.
   *
   * @param settings how orders are given
   * @param holder node name and incarnation of this process, which no other process ever has
   * @param machine this daemon's replica of the orders
   * @param configuration the configuration in force
   * @param directory the upstreams
   * @param submitter has commands agreed on
   */
  public OrderPart(
      OrderSettings settings,
      String holder,
      OrderMachine machine,
      ConfigurationView configuration,
      UpstreamDirectory directory,
      Submitter submitter) {
    this.settings = settings;
    this.machine = machine;
    this.configuration = configuration;
    this.directory = directory;
    this.submitter = submitter;
    lease = new LeaseHolder(settings, holder, machine, submitter);
    planner = new RollOutPlanner(settings);
    dispatcher = new OrderDispatcher(settings);
  }

  /** Returns whether enough engines announced the new version for a roll-out's next step. */
  public boolean isPreparedForNextStep(RollOut rollOut) {
    return machine
        .progress(rollOut.model())
        .filter(progress -> progress.isOf(rollOut))
        .filter(progress -> progress.preparedSteps() >= stepsNeededToAdvance(rollOut))
        .isPresent();
  }

  private static int stepsNeededToAdvance(RollOut rollOut) {
    return Math.min(rollOut.step() + 2, rollOut.steps().size());
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    lease.look(now);
    if (event instanceof Tick) {
      onTick(now, output);
    } else if (event instanceof SubmissionAnswered answered) {
      onAnswered(answered, now, output);
    } else if (event instanceof SubmissionFailed failed) {
      if (!lease.onFailed(failed.submissionId(), now)) {
        submitted.remove(failed.submissionId());
      }
    } else if (event instanceof OrderAnswered answered) {
      onOrderAnswered(answered, now, output);
    }
  }

  private void onTick(Instant now, Output output) {
    if (lease.passed().compareTo(nextLookAt) < 0) {
      return;
    }
    nextLookAt = lease.passed().plus(LOOK_EVERY);
    boolean isIdle = submitted.isEmpty() && dispatcher.isIdle(lease.passed());
    lease.onTick(isWorkLeft(), isIdle, now, output);
    if (lease.isValid(now)) {
      seeToOpenOrders(now, output);
      planRollOuts(now, output);
    }
  }

  private boolean isWorkLeft() {
    return !machine.openIntents().isEmpty()
        || configuration.current().rollOuts().stream()
            .anyMatch(
                rollOut -> !RollOutPlanner.isOver(rollOut, machine.progress(rollOut.model())));
  }

  private void seeToOpenOrders(Instant now, Output output) {
    Set<String> open = new HashSet<>();
    for (OrderIntent intent : machine.openIntents()) {
      Order order = intent.order();
      open.add(order.orderId());
      OrderState_ verdict = dispatcher.see(order, directory.find(order.upstream()), lease, output);
      if (verdict != OrderState_.WAIT) {
        boolean isDone = verdict == OrderState_.DONE;
        submitOnce(
            new OrderCommand.Conclude(
                lease.number(), order.orderId(), isDone, isDone ? "announced" : "refused or gone"),
            now,
            output);
      }
    }
    dispatcher.keepOnly(open, lease.passed());
  }

  private void planRollOuts(Instant now, Output output) {
    Configuration current = configuration.current();
    endedSince.keySet().retainAll(current.rollOuts());
    EngineView view =
        EngineView.of(directory.all(), current.drainedUpstreams(), busy(), this::isPassedOver);
    for (RollOut rollOut : current.rollOuts()) {
      Optional<RollOutProgress> known = machine.progress(rollOut.model());
      if (!RollOutPlanner.isOver(rollOut, known)) {
        RequiredWork need = planner.plan(rollOut, known, current, view, mayUnload(rollOut));
        if (!known.equals(Optional.of(need.progress()))) {
          submitOnce(new OrderCommand.RecordProgress(lease.number(), need.progress()), now, output);
        }
        need.orders().forEach(wish -> intend(wish, now, output));
      }
    }
  }

  // Counted anew by each holder, by time that has surely passed: a clock's jump must not take a
  // version away from the sessions that still use it.
  private boolean mayUnload(RollOut rollOut) {
    Duration since = endedSince.computeIfAbsent(rollOut, unused -> lease.passed());
    return lease.passed().compareTo(since.plus(settings.unloadDelay())) >= 0;
  }

  private void intend(PlannedOrder wish, Instant now, Output output) {
    boolean mustWait = wish.kind() == OrderKind.LOAD && lease.passed().compareTo(nextLoadAt) < 0;
    if (mustWait
        || busy().contains(wish.upstream())
        || machine.openIntents().size() + openSubmissions() >= settings.maxOpenOrders()) {
      return;
    }
    orders++;
    String orderId = wish.kind().wireName() + "-" + lease.number() + "-" + orders;
    Order order = new Order(orderId, wish.kind(), wish.upstream(), wish.version(), "");
    submit(new OrderCommand.Intend(lease.number(), order, settings.budget()), now, output);
  }

  private Set<String> busy() {
    Set<String> busy = new HashSet<>();
    machine.openIntents().forEach(intent -> busy.add(intent.order().upstream()));
    submitted.values().stream()
        .map(OrderPart::upstreamOf)
        .filter(Objects::nonNull)
        .forEach(busy::add);
    return busy;
  }

  private boolean isPassedOver(String upstream) {
    return dispatcher.isPassedOver(upstream, lease.passed());
  }

  private static @Nullable String upstreamOf(OrderCommand command) {
    return command instanceof OrderCommand.Intend intend ? intend.order().upstream() : null;
  }

  private long openSubmissions() {
    return submitted.values().stream().filter(OrderCommand.Intend.class::isInstance).count();
  }

  private void submitOnce(OrderCommand command, Instant now, Output output) {
    if (!submitted.containsValue(command)) {
      submit(command, now, output);
    }
  }

  private void submit(OrderCommand command, Instant now, Output output) {
    long id = submitter.newSubmissionId();
    submitted.put(id, command);
    submitter.submit(GroupId.CONFIGURATION, command, id, now.plus(SUBMISSION_TRY), now, output);
  }

  private void onAnswered(SubmissionAnswered answered, Instant now, Output output) {
    if (lease.onAnswered(answered.submissionId(), answered.result(), now, output)) {
      return;
    }
    OrderCommand command = submitted.remove(answered.submissionId());
    CommandResult result = answered.result();
    if (command != null && result instanceof StaleLease) {
      lease.lose("an order command came too late for its lease", now, output);
    } else if (command != null && result instanceof OverBudget over) {
      nextLoadAt = lease.passed().plusMillis(over.waitMillis());
    }
  }

  private void onOrderAnswered(OrderAnswered answered, Instant now, Output output) {
    Map<String, String> upstreams =
        machine.openIntents().stream()
            .collect(
                Collectors.toMap(
                    intent -> intent.order().orderId(), intent -> intent.order().upstream()));
    String upstream = upstreams.getOrDefault(answered.orderId(), "");
    if (dispatcher.onAnswered(answered, upstream, lease.passed())) {
      lease.lose("an engine knows a newer holder of the lease", now, output);
    }
  }

  /** Returns the orders that are remembered, for operators to read. */
  public List<OrderIntent> orders() {
    return machine.intents();
  }
}
