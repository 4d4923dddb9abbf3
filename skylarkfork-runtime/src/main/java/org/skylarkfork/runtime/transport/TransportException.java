package org.skylarkfork.runtime.transport;

import org.jspecify.annotations.Nullable;

/** Reports that the transport can't start, or that a frame or a peer is invalid. */
public final class TransportException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Kinds of errors of the transport. */
  public enum Kind {
    /** The listener can't use its address. */
    ADDRESS_UNUSABLE("set an IP address of this machine and a port that no other process uses"),
    /** The certificate, the key or the trusted certificates can't be used. */
    CERTIFICATE_UNUSABLE("set PEM files that match each other and that this process may read"),
    /** A frame violates the layout or the size limit. */
    BAD_FRAME("allow only daemons of this cluster to connect to the peer port"),
    /** A greeting or the response to it was refused. */
    REFUSED("compare names, cluster, versions and certificates of both daemons");

    private final String remedy;

    Kind(String remedy) {
      this.remedy = remedy;
    }

    /** Returns the action that the operator can take. */
    public String remedy() {
      return remedy;
    }
  }

  private final Kind kind;

  /**
   * Creates an exception whose message ends in the remedy of its kind.
   *
   * @param kind kind of the error
   * @param detail location and description of the error
   * @param cause underlying error, or null
   */
  public TransportException(Kind kind, String detail, @Nullable Throwable cause) {
    super(detail + "; " + kind.remedy(), cause);
    this.kind = kind;
  }

  /** Returns the kind of the error. */
  public Kind kind() {
    return kind;
  }
}
