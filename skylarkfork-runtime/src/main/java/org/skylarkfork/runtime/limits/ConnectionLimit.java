package org.skylarkfork.runtime.limits;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Limits the open connections of a listener; confined to one thread.
 *
 * <p>Without the limit connections that send nothing take all descriptors, and the daemon can
 * neither accept others nor connect to upstreams and peers. A new connection beyond the limit takes
 * the place of the one that has waited longest for its client, first of those that have never
 * carried a whole request.
 *
 * @param <C> a connection
 */
public final class ConnectionLimit<C extends ConnectionLimit.Connection> {

  private final int maxConnections;
  private final Set<C> connections = new HashSet<>();

  /**
   * Creates the limit.
   *
   * @param maxConnections maximum number of open connections
   */
  public ConnectionLimit(int maxConnections) {
    this.maxConnections = maxConnections;
  }

  /** A client's connection; equal to itself only. */
  public interface Connection {

    /** Returns whether the next step is the client's, so that closing it loses no answer. */
    boolean waitsForClient();

    /** Returns whether a whole request was received on it. */
    boolean hasCarriedRequest();

    /** Returns since when it waits for its client, as the process's monotonic clock, in ns. */
    long waitsSince();

    /** Closes the connection; {@link #onClosed} follows later. */
    void evict();
  }

  /** Records a new connection, and closes another one if there are too many, or else this one. */
  public void onOpened(C opened) {
    connections.add(opened);
    if (connections.size() > maxConnections) {
      C evicted = longestWaiting();
      connections.remove(evicted == null ? opened : evicted);
      (evicted == null ? opened : evicted).evict();
    }
  }

  private @Nullable C longestWaiting() {
    C longest = null;
    for (C connection : connections) {
      if (connection.waitsForClient() && (longest == null || goesBefore(connection, longest))) {
        longest = connection;
      }
    }
    return longest;
  }

  private boolean goesBefore(C one, C other) {
    if (one.hasCarriedRequest() != other.hasCarriedRequest()) {
      return other.hasCarriedRequest();
    }
    return one.waitsSince() - other.waitsSince() < 0;
  }

  /** Records that a connection was closed; does nothing for an unknown one. */
  public void onClosed(C closed) {
    connections.remove(closed);
  }

  /** Returns the open connections. */
  public List<C> connections() {
    return new ArrayList<>(connections);
  }

  /** Returns the number of open connections. */
  public int count() {
    return connections.size();
  }
}
