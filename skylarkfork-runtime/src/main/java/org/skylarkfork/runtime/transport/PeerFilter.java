package org.skylarkfork.runtime.transport;

/**
 * Drops frames without a trace, so that a test or a proof program can cut a node off in silence.
 *
 * <p>Connections stay open; keep-alive frames are dropped as well. Called on the threads of the
 * transport.
 */
public interface PeerFilter {

  /** Lets everything pass. */
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

  /** Returns whether frames to the node leave. */
  boolean sendsTo(String node);

  /** Returns whether frames from the node are taken. */
  boolean receivesFrom(String node);
}
