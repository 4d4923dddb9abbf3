package org.skylarkfork.runtime.transport;

/**
 * Drops frames silently, so that a test or a proof program can isolate a node without connection
 * errors.
 *
 * <p>Connections stay open; keep-alive frames are dropped as well. Called on the threads of the
 * transport.
 */
public interface PeerFilter {

  /** Passes all frames. */
  PeerFilter PASS_ALL =
      new PeerFilter() {
        @Override
        public boolean sendsTo(String node) {
          return true;
        }

        @Override
        public boolean receivesFrom(String node) {
          return true;
        }
      };

  /** Returns whether frames to the node are sent. */
  boolean sendsTo(String node);

  /** Returns whether frames from the node are processed. */
  boolean receivesFrom(String node);
}
