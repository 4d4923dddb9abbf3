package org.skylarkfork.daemon;

import org.skylarkfork.runtime.startup.DaemonProcess;

/**
 * The one program.
 *
 * <p>The class refers to little, so that signals are handled before the commands' classes load.
 */
public final class Skylarkfork {

  private Skylarkfork() {}

  /**
   * Runs a command and exits.
   *
   * @param arguments the command line
   */
  public static void main(String[] arguments) {
    if (arguments.length > 0 && isServer(arguments[0])) {
      CommandLine.serve(DaemonProcess.begin(), arguments);
    } else {
      System.exit(run(arguments));
    }
  }

  /** Returns whether a command runs until it is told to stop; other commands end on a signal. */
  private static boolean isServer(String command) {
    return switch (command) {
      case "daemon", "relay", "quickstart", "standin" -> true;
      default -> false;
    };
  }

  /**
   * Runs a command.
   *
   * @param arguments the command line
   * @return the exit code
   */
  static int run(String... arguments) {
    return CommandLine.run(arguments);
  }
}
