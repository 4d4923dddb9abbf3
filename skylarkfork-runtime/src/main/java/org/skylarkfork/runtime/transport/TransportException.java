package org.skylarkfork.runtime.transport;

import org.jspecify.annotations.Nullable;

/** The transport can't start, or a frame or a peer isn't what it should be. */
public final class TransportException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** What is wrong. */
  public enum Kind {
    /** The listener can't use its address. */
    ADDRESS_UNUSABLE("set an IP number of this machine and a port that no other process uses"),
    /** Certificate, key or authorities can't be read. */
    CERTIFICATE_UNUSABLE("give PEM files that belong together and that this process may read"),
    /** A frame breaks the layout or the limit. */
    BAD_FRAME("let only daemons of this cluster connect to the peer port"),
    /** The greeting doesn't fit. */
    REFUSED("compare names, cluster, versions and certificates of both daemons");

    private final String remedy;

    Kind(String remedy) {
      this.remedy = remedy;
    }

    /** Returns what the operator can do about it. */
    public String remedy() {
      return remedy;
    }
  }

  private final Kind kind;

  /**
   * Creates an exception whose message ends in the remedy of its kind.
   *
   * @param kind what is wrong
   * @param detail where and how
   * @param cause what lies below, or null
   */
  public TransportException(Kind kind, String detail, @Nullable Throwable cause) {
    super(detail + "; " + kind.remedy(), cause);
    this.kind = kind;
  }

  /** Returns what is wrong. */
  public Kind kind() {
    return kind;
  }
}
