package org.skylarkfork.runtime.startup;

import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * The process of a daemon: its signals, the failures that nothing catches, and its end.
 *
 * <p>SIGTERM and SIGINT stop the daemon, with status 0, whether it is started or not. SIGHUP
 * reloads the settings; one that arrives during the start is remembered until the daemon is
 * started. Without handlers the JVM ends on each of them, with a status that looks like a failure.
 *
 * <p>The class is thread-safe.
 */
public final class DaemonProcess {

  private final ProcessEnd end;
  private @Nullable Runnable reload;
  private @Nullable StopAction stop;
  private boolean reloadPending;
  private boolean stopping;

  /** Stops a daemon gracefully. */
  public interface StopAction {

    /** Returns once the daemon has stopped; the process then ends. */
    void stop() throws InterruptedException;
  }

  /**
   * Creates a process whose signals aren't handled.
   *
   * @param end ends the process
   */
  public DaemonProcess(ProcessEnd end) {
    this.end = end;
  }

  /**
   * Handles the signals and uncaught failures of this process from now on. A program calls it
   * before everything else, since a signal that arrives earlier ends the process.
   */
  public static DaemonProcess begin() {
    DaemonProcess process = new DaemonProcess(ProcessEnd.ofThisProcess());
    Handlers handlers = new Handlers(process);
    for (String name : new String[] {"HUP", "TERM", "INT"}) {
      handle(name, handlers, process);
    }
    Thread.setDefaultUncaughtExceptionHandler(handlers);
    return process;
  }

  private static void handle(String name, SignalHandler handler, DaemonProcess process) {
    try {
      Signal.handle(new Signal(name), handler);
    } catch (IllegalArgumentException unavailable) {
      // The JVM's option -Xrs leaves the signal to the operating system.
      process.end.report("node: a signal can't be handled signal=SIG" + name, unavailable);
    }
  }

  /**
   * Sets what SIGHUP does from now on, and does it if one has arrived.
   *
   * @param action reloads the settings; runs on a thread of the signal, or on the caller's
   */
  public void onHangUp(Runnable action) {
    boolean pending;
    synchronized (this) {
      reload = action;
      pending = reloadPending;
      reloadPending = false;
    }
    if (pending) {
      Logger.info("node: signal=SIGHUP came during the start");
      action.run();
    }
  }

  /**
   * Sets what SIGTERM and SIGINT do from now on, before the process ends with status 0.
   *
   * @param action stops the daemon; runs on a thread of the signal, once at most
   */
  public synchronized void onStop(StopAction action) {
    stop = action;
  }

  /** Returns the end of the process. */
  public ProcessEnd end() {
    return end;
  }

  /**
   * Ends the process since the daemon can't start. If the daemon was told to stop meanwhile, the
   * failure is a consequence, and the process ends once the daemon has stopped.
   *
   * @param reason what failed, as the text of a log line
   * @param cause the failure
   */
  public void startFailed(String reason, Throwable cause) {
    synchronized (this) {
      if (stopping) {
        Logger.info("node: the start ends, since the daemon was told to stop: {}", cause);
        return;
      }
    }
    end.failed(reason, cause);
  }

  /**
   * Ends the process with status 0 since its task is done. If it was told to stop meanwhile, it
   * ends by that.
   *
   * @param reason what is done, as the text of a log line
   */
  public void done(String reason) {
    synchronized (this) {
      if (stopping) {
        return;
      }
    }
    end.stopped(reason);
  }

  /** Acts on SIGHUP. */
  void hangUp() {
    Runnable action;
    synchronized (this) {
      action = reload;
      reloadPending = action == null;
    }
    if (action != null) {
      Logger.info("node: signal=SIGHUP");
      action.run();
    }
  }

  /**
   * Acts on a signal that stops the daemon.
   *
   * @param signal name of the signal
   */
  void terminate(String signal) {
    StopAction action;
    synchronized (this) {
      if (stopping) {
        return;
      }
      stopping = true;
      action = stop;
    }
    if (action == null) {
      end.stopped("node: stopped during the start signal=" + signal);
      return;
    }
    try {
      action.stop();
      end.stopped("node: stopped as planned signal=" + signal);
    } catch (InterruptedException | RuntimeException | Error failure) {
      end.failed("node: the planned stop failed signal=" + signal, failure);
    }
  }

  /**
   * Acts on a failure that has ended a thread.
   *
   * @param thread the thread
   * @param failure what it didn't catch
   */
  void threadFailed(Thread thread, Throwable failure) {
    String reason = "node: a thread ended by a failure thread=" + thread.getName();
    if (thread instanceof EssentialThread) {
      end.failed(reason, failure);
    } else {
      end.report(reason, failure);
    }
  }

  /** Passes signals and failures on; a class, since lambdas are slow to link so early. */
  private static final class Handlers implements SignalHandler, Thread.UncaughtExceptionHandler {

    private final DaemonProcess process;

    Handlers(DaemonProcess process) {
      this.process = process;
    }

    @Override
    public void handle(Signal signal) {
      if ("HUP".equals(signal.getName())) {
        process.hangUp();
      } else {
        stopThread("SIG" + signal.getName()).start();
      }
    }

    @Override
    public void uncaughtException(Thread thread, Throwable failure) {
      process.threadFailed(thread, failure);
    }

    /** Returns a thread that keeps the JVM from ending when main returns before the stop does. */
    private Thread stopThread(String signal) {
      Thread thread = new Thread(() -> process.terminate(signal), "stop");
      thread.setDaemon(false);
      return thread;
    }
  }
}
