package org.skylarkfork.runtime.transport;

/** Payloads of the first frames of a connection. */
sealed interface Handshake {

  /** Newest protocol version that this program supports. */
  int VERSION = 2;

  /** Oldest protocol version in which both sides of a connection send messages. */
  int DUPLEX_VERSION = 2;

  /** Oldest protocol version that this program supports. */
  int OLDEST_VERSION = 1;

  /**
   * First frame of a connection, sent by the connecting daemon.
   *
   * @param version newest protocol version that the daemon supports
   * @param oldestVersion oldest protocol version that the daemon supports
   * @param node name of the daemon
   * @param cluster name of the daemon's cluster
   * @param incarnation incarnation number of the daemon's process
   */
  record Greeting(int version, int oldestVersion, String node, String cluster, long incarnation)
      implements Handshake {}

  /**
   * Accepts a greeting.
   *
   * @param version protocol version of this connection
   * @param node name of the accepting daemon
   * @param incarnation incarnation number of the accepting daemon's process
   */
  record Welcome(int version, String node, long incarnation) implements Handshake {}

  /**
   * Refuses a greeting; the connection is closed after this frame.
   *
   * @param reason reason of the refusal
   * @param detail the values of both sides, as text
   */
  record Refusal(Reason reason, String detail) implements Handshake {}

  /** Reason to refuse a greeting. */
  enum Reason {
    /** The two sides support no common protocol version. */
    VERSION,
    /** The clusters differ. */
    CLUSTER,
    /** The name is missing or equals the accepting daemon's name. */
    NAME,
    /** The certificate's common name isn't the node name. */
    CERTIFICATE
  }
}
