package org.skylarkfork.runtime.transport;

/** First frames of a connection. */
sealed interface Handshake {

  /** Newest version of the protocol that this program speaks. */
  int VERSION = 1;

  /** Oldest version of the protocol that this program understands. */
  int OLDEST_VERSION = 1;

  /**
   * First frame, from the daemon that connected.
   *
   * @param version newest version that it speaks
   * @param oldestVersion oldest version that it understands
   * @param node its name
   * @param cluster its cluster
   * @param incarnation number of its process
   */
  record Greeting(int version, int oldestVersion, String node, String cluster, long incarnation)
      implements Handshake {}

  /**
   * Accepts a greeting.
   *
   * @param version version that both speak from now on
   * @param node name of the accepting daemon
   * @param incarnation number of its process
   */
  record Welcome(int version, String node, long incarnation) implements Handshake {}

  /**
   * Refuses a greeting; the connection is closed after it.
   *
   * @param reason what doesn't fit
   * @param detail names both sides' values
   */
  record Refusal(Reason reason, String detail) implements Handshake {}

  /** What doesn't fit in a greeting. */
  enum Reason {
    /** No version is spoken by both. */
    VERSION,
    /** The clusters differ. */
    CLUSTER,
    /** The name is missing or is the accepting daemon's own. */
    NAME,
    /** The certificate's common name isn't the node name. */
    CERTIFICATE
  }
}
