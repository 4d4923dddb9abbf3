package org.skylarkfork.daemon;

import java.util.concurrent.Callable;
import org.skylarkfork.runtime.startup.DaemonProcess;
import org.skylarkfork.runtime.startup.ProcessEnd;

/** A command that runs until it is told to stop. */
interface ServerCommand extends Callable<Integer> {

  /**
   * Runs until the process ends or the command is done.
   *
   * @param process process of the command, whose signals the command takes over as soon as it can
   * @return the exit code
   * @throws Exception if the command can't run
   */
  int serve(DaemonProcess process) throws Exception;

  /** Runs in a process whose signals aren't handled. */
  @Override
  default Integer call() throws Exception {
    return serve(new DaemonProcess(ProcessEnd.ofThisProcess()));
  }
}
