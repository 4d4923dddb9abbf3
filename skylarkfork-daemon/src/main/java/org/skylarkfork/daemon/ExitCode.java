package org.skylarkfork.daemon;

/** Exit codes of the command line. */
public final class ExitCode {

  /** All went well. */
  public static final int SUCCESS = 0;

  /** The command ran and failed. */
  public static final int FAILURE = 1;

  /** The command line was wrong. */
  public static final int USAGE = 2;

  private ExitCode() {}
}
