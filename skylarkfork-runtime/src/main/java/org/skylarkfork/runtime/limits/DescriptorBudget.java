package org.skylarkfork.runtime.limits;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Shares of a process's descriptors that connections may take, so that those of one listener leave
 * descriptors to the others, to upstreams, to peers and to files.
 */
public final class DescriptorBudget {

  /** Maximum number of descriptors of a process by default. */
  private static final int DEFAULT_DESCRIPTORS = 4096;

  /** Number that stands for the default. */
  public static final int UNKNOWN = 0;

  /** Descriptors for files, such as libraries and the log. */
  private static final int RESERVED = 200;

  /** Descriptors for connections without which a daemon is of no use. */
  private static final int MIN_SOCKETS = 100;

  private static final Path PROCESS_LIMITS = Path.of("/proc/self/limits");
  private static final String OPEN_FILES = "Max open files";

  private final int sockets;

  /**
   * Creates the budget.
   *
   * @param maxDescriptors maximum number of descriptors of the process
   */
  public DescriptorBudget(int maxDescriptors) {
    this.sockets = Math.max(MIN_SOCKETS, maxDescriptors - RESERVED);
  }

  /**
   * Returns the budget of this process.
   *
   * @param maxDescriptors maximum number of descriptors as configured, which holds whatever the
   *     system says; 0 for the default, or less if the system allows less
   */
  public static DescriptorBudget ofProcess(int maxDescriptors) {
    return new DescriptorBudget(
        maxDescriptors > 0 ? maxDescriptors : Math.min(DEFAULT_DESCRIPTORS, allowedBySystem()));
  }

  private static int allowedBySystem() {
    try {
      for (String line : Files.readAllLines(PROCESS_LIMITS)) {
        if (line.startsWith(OPEN_FILES)) {
          return softLimit(line.substring(OPEN_FILES.length()).trim().split("\\s+")[0]);
        }
      }
    } catch (IOException | NumberFormatException unreadable) {
      // Not Linux: the configured maximum holds.
    }
    return Integer.MAX_VALUE;
  }

  private static int softLimit(String text) {
    return text.equals("unlimited")
        ? Integer.MAX_VALUE
        : (int) Math.min(Integer.MAX_VALUE, Long.parseLong(text));
  }

  /** Returns the number of descriptors that all connections share. */
  public int sockets() {
    return sockets;
  }

  /**
   * Returns the maximum number of connections of callers, or of operators and upstreams.
   *
   * @param listeners number of these listeners that the daemon has, 1 or 2
   */
  public int mainListener(int listeners) {
    return Math.max(1, sockets / 2 / listeners);
  }

  /** Returns the maximum number of connections for look-ups of entries. */
  public int lookUps() {
    return Math.max(1, sockets * 15 / 100);
  }

  /** Returns the maximum number of connections for checks and metrics, each. */
  public int checks() {
    return Math.max(1, sockets * 3 / 100);
  }

  /** Returns the maximum number of connections to the peers' port that haven't greeted. */
  public int ungreetedPeers() {
    return Math.max(1, sockets / 4);
  }
}
