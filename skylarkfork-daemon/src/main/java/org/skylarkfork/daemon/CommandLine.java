package org.skylarkfork.daemon;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.annotations.Group;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.runtime.settings.SettingsException;
import org.skylarkfork.runtime.startup.DaemonProcess;

/** Picks the command and turns its end into an exit code. */
@com.github.rvesse.airline.annotations.Cli(
    name = "skylarkfork",
    description = "A model-aware router for versions and cascades.",
    defaultCommand = HelpCommand.class,
    commands = {
      HelpCommand.class,
      QuickstartCommand.class,
      DaemonCommand.class,
      RelayCommand.class,
      CheckCommand.class,
      TimelineCommand.class,
      ExplainCommand.class,
      EvacuateCommand.class,
      QuarantineCommand.class,
      BackoffsCommand.class,
      LimitsCommand.class,
      StandinCommand.class,
      LoadCommand.class,
      MeasureCommand.class,
      ProofCommand.class
    },
    groups =
        @Group(
            name = "admin",
            description = "Shows and changes what operators decide, through any daemon.",
            defaultCommand = HelpCommand.class,
            commands = {
              AdminShowCommand.class,
              AdminChangeCommand.class,
              AdminWithdrawCommand.class,
              AdminDrainCommand.class,
              AdminRollOutCommand.class,
              AdminDryRunCommand.class,
              AdminControlVmCommand.class
            }))
final class CommandLine {

  private CommandLine() {}

  /**
   * Runs a command.
   *
   * @param arguments the command line
   * @return the exit code
   */
  static int run(String... arguments) {
    Callable<Integer> command = parse(arguments);
    return command == null ? ExitCode.USAGE : call(command);
  }

  /**
   * Runs a command that serves until the process ends, and ends the process with its exit code.
   *
   * @param process the process, whose signals are handled
   * @param arguments the command line
   */
  static void serve(DaemonProcess process, String... arguments) {
    Callable<Integer> command = parse(arguments);
    if (command instanceof ServerCommand server) {
      serve(process, arguments[0], server);
    } else {
      System.exit(command == null ? ExitCode.USAGE : call(command));
    }
  }

  private static void serve(DaemonProcess process, String name, ServerCommand command) {
    try {
      int code = command.serve(process);
      if (code == ExitCode.SUCCESS) {
        process.done("node: " + name + " is done");
      } else {
        process.end().failed("node: " + name + " failed", null);
      }
    } catch (SettingsException wrong) {
      wrong.problems().forEach(System.err::println);
      process.startFailed("node: " + name + " can't start, since its settings are wrong", wrong);
    } catch (Exception | Error failure) {
      process.startFailed("node: " + name + " can't start", failure);
    }
  }

  /** Returns the command, or null if the command line is wrong, which is then told. */
  private static @Nullable Callable<Integer> parse(String... arguments) {
    Cli<Callable<Integer>> cli = new Cli<>(CommandLine.class);
    try {
      return cli.parse(helpForm(arguments));
    } catch (ParseException wrong) {
      System.err.println(wrong.getMessage());
      System.err.println("Run 'skylarkfork help' for the commands and their options.");
      return null;
    }
  }

  /** Turns {@code command --help} into {@code help command}, which needs no required option. */
  private static String[] helpForm(String... arguments) {
    List<String> words = new ArrayList<>(List.of(arguments));
    if (!words.remove("--help")) {
      return arguments;
    }
    List<String> form = new ArrayList<>(List.of("help"));
    words.stream().takeWhile(word -> !word.startsWith("-")).forEach(form::add);
    return form.toArray(String[]::new);
  }

  private static int call(Callable<Integer> command) {
    try {
      return command.call();
    } catch (Exception | Error failure) {
      System.err.println(failure.getMessage() == null ? failure.toString() : failure.getMessage());
      return ExitCode.FAILURE;
    }
  }
}
