package org.skylarkfork.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ConfigurationProblem.Kind;

/** Applies changes of roll-outs and withdrawals. */
final class RollOutChanges {

  private RollOutChanges() {}

  /** Returns whether the change was one of these, and then has applied it. */
  static boolean apply(ConfigurationDraft draft, ConfigurationChange change)
      throws InapplicableChangeException {
    if (change instanceof ConfigurationChange.StartRollOut start) {
      start(draft, start);
    } else if (change instanceof ConfigurationChange.AdvanceRollOut advance) {
      advance(draft, advance);
    } else if (change instanceof ConfigurationChange.PauseRollOut pause) {
      RollOut rollOut = requireState(draft, pause.model(), "pause", RollOut.State.RUNNING);
      put(draft, rollOut, rollOut.step(), RollOut.State.PAUSED);
    } else if (change instanceof ConfigurationChange.ResumeRollOut resume) {
      RollOut rollOut = requireState(draft, resume.model(), "resume", RollOut.State.PAUSED);
      put(draft, rollOut, rollOut.step(), RollOut.State.RUNNING);
    } else if (change instanceof ConfigurationChange.AbortRollOut abort) {
      RollOut rollOut =
          requireState(draft, abort.model(), "abort", RollOut.State.RUNNING, RollOut.State.PAUSED);
      put(draft, rollOut, rollOut.step(), RollOut.State.ABORTED);
    } else if (change instanceof ConfigurationChange.WithdrawVersion withdraw) {
      withdraw(draft, withdraw);
    } else if (change instanceof ConfigurationChange.ReinstateVersion reinstate) {
      reinstate(draft, reinstate.version());
    } else {
      return false;
    }
    return true;
  }

  private static void start(ConfigurationDraft draft, ConfigurationChange.StartRollOut start)
      throws InapplicableChangeException {
    Optional<RollOut> old = find(draft, start.model());
    if (old.isPresent() && isOpen(old.get())) {
      throw new InapplicableChangeException(
          Kind.WRONG_STATE,
          "roll-out " + start.model(),
          "a roll-out of this model is "
              + old.get().state().name().toLowerCase(java.util.Locale.ROOT)
              + "; finish or abort it first");
    }
    RollOut rollOut =
        new RollOut(
            start.model(), start.from(), start.to(), start.steps(), 0, RollOut.State.RUNNING);
    draft.rollOuts = ConfigurationDraft.with(draft.rollOuts, rollOut, RollOut::model);
  }

  private static void advance(ConfigurationDraft draft, ConfigurationChange.AdvanceRollOut advance)
      throws InapplicableChangeException {
    RollOut rollOut = requireState(draft, advance.model(), "advance", RollOut.State.RUNNING);
    int last = rollOut.steps().size();
    if (advance.step() < 0 || advance.step() > last) {
      throw new InapplicableChangeException(
          Kind.OUT_OF_RANGE,
          "roll-out " + advance.model(),
          "step " + advance.step() + " does not exist; use 0 to " + last + ", which finishes it");
    }
    boolean finished = advance.step() == last;
    put(draft, rollOut, advance.step(), finished ? RollOut.State.FINISHED : RollOut.State.RUNNING);
    if (finished) {
      setCurrent(draft, rollOut.model(), rollOut.to());
    }
  }

  private static void withdraw(
      ConfigurationDraft draft, ConfigurationChange.WithdrawVersion withdraw)
      throws InapplicableChangeException {
    ModelVersion version = withdraw.version();
    Model model = ChangeApplier.findOrThrow(draft.models, version.model(), Model::name, "model");
    if (model.version(version.version()).isEmpty()) {
      throw ChangeApplier.notFound("version of model " + model.name(), version.version());
    }
    draft.withdrawn = ConfigurationDraft.with(draft.withdrawn, version, Function.identity());
    String replacement = withdraw.replacement();
    if (replacement != null
        && draft.withdrawn.contains(new ModelVersion(model.name(), replacement))) {
      throw new InapplicableChangeException(
          Kind.WITHDRAWN,
          "version " + version,
          "its replacement " + replacement + " is withdrawn too; name another version");
    }
    Optional<RollOut> rollOut = find(draft, version.model());
    if (rollOut.isPresent() && isOpen(rollOut.get())) {
      close(draft, rollOut.get(), version, replacement);
    }
    if (replacement == null) {
      replacement = predecessor(draft, model, version, rollOut);
    }
    if (replacement != null) {
      setCurrent(draft, model.name(), replacement);
    }
  }

  /**
   * Closes a roll-out that the withdrawal crosses.
   *
   * <p>A refusal because a roll-out is running would keep a bad version in use until the operator
   * has found the roll-out, so the roll-out gives way.
   */
  private static void close(
      ConfigurationDraft draft,
      RollOut rollOut,
      ModelVersion version,
      @Nullable String replacement) {
    if (rollOut.to().equals(replacement)) {
      put(draft, rollOut, rollOut.steps().size(), RollOut.State.FINISHED);
    } else if (replacement != null || rollOut.to().equals(version.version())) {
      put(draft, rollOut, rollOut.step(), RollOut.State.ABORTED);
    }
  }

  private static @Nullable String predecessor(
      ConfigurationDraft draft, Model model, ModelVersion version, Optional<RollOut> rollOut) {
    if (rollOut.isEmpty() || !model.current().equals(version.version())) {
      return null;
    }
    String predecessor = rollOut.get().from();
    boolean usable =
        rollOut.get().state() == RollOut.State.FINISHED
            && rollOut.get().to().equals(version.version())
            && !draft.withdrawn.contains(new ModelVersion(model.name(), predecessor));
    return usable ? predecessor : null;
  }

  private static void reinstate(ConfigurationDraft draft, ModelVersion version)
      throws InapplicableChangeException {
    if (!draft.withdrawn.contains(version)) {
      throw new InapplicableChangeException(
          Kind.WRONG_STATE, "version " + version, "the version is not withdrawn; nothing to do");
    }
    draft.withdrawn = ConfigurationDraft.without(draft.withdrawn, version, Function.identity());
  }

  /** Drops withdrawals and closed roll-outs whose versions no model has any more. */
  static void removeMissingVersions(ConfigurationDraft draft) {
    List<ModelVersion> withdrawn = new ArrayList<>(draft.withdrawn);
    if (withdrawn.removeIf(version -> !exists(draft, version.model(), version.version()))) {
      draft.withdrawn = List.copyOf(withdrawn);
    }
    List<RollOut> rollOuts = new ArrayList<>(draft.rollOuts);
    if (rollOuts.removeIf(rollOut -> !isOpen(rollOut) && !exists(draft, rollOut))) {
      draft.rollOuts = List.copyOf(rollOuts);
    }
  }

  private static boolean exists(ConfigurationDraft draft, RollOut rollOut) {
    return exists(draft, rollOut.model(), rollOut.from())
        && exists(draft, rollOut.model(), rollOut.to());
  }

  private static boolean exists(ConfigurationDraft draft, String model, String version) {
    int index = ConfigurationDraft.find(draft.models, model, Model::name);
    return index >= 0 && draft.models.get(index).version(version).isPresent();
  }

  private static RollOut requireState(
      ConfigurationDraft draft, String model, String verb, RollOut.State... allowed)
      throws InapplicableChangeException {
    RollOut rollOut = ChangeApplier.findOrThrow(draft.rollOuts, model, RollOut::model, "roll-out");
    for (RollOut.State state : allowed) {
      if (rollOut.state() == state) {
        return rollOut;
      }
    }
    throw new InapplicableChangeException(
        Kind.WRONG_STATE,
        "roll-out " + model,
        "can't " + verb + " a roll-out that is " + rollOut.state() + "; start a new one or resume");
  }

  private static void put(
      ConfigurationDraft draft, RollOut rollOut, int step, RollOut.State state) {
    RollOut changed =
        new RollOut(rollOut.model(), rollOut.from(), rollOut.to(), rollOut.steps(), step, state);
    draft.rollOuts = ConfigurationDraft.with(draft.rollOuts, changed, RollOut::model);
  }

  private static void setCurrent(ConfigurationDraft draft, String model, String version) {
    int index = ConfigurationDraft.find(draft.models, model, Model::name);
    if (index >= 0) {
      Model changed = new Model(model, draft.models.get(index).versions(), version);
      draft.models = ConfigurationDraft.with(draft.models, changed, Model::name);
    }
  }

  /** Returns whether a roll-out is running or paused. */
  static boolean isOpen(RollOut rollOut) {
    return rollOut.state() == RollOut.State.RUNNING || rollOut.state() == RollOut.State.PAUSED;
  }

  private static Optional<RollOut> find(ConfigurationDraft draft, String model) {
    int index = ConfigurationDraft.find(draft.rollOuts, model, RollOut::model);
    return index < 0 ? Optional.empty() : Optional.of(draft.rollOuts.get(index));
  }
}
