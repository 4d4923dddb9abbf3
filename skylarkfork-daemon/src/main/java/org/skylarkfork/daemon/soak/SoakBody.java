package org.skylarkfork.daemon.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.apache.commons.rng.UniformRandomProvider;

/** Writes the body of an upstream's answer in one of three framings, whole or broken off. */
final class SoakBody {

  /** One in so many answers breaks off. */
  private static final int BROKEN_ONE_IN = 25;

  private static final int NEVER = -1;

  private final OutputStream out;
  private final Framing framing;
  private final int length;
  private final int breakAt;
  private final boolean breaksByReset;
  private int written;

  /** How the body marks its end. */
  private enum Framing {
    LENGTH,
    CHUNKS,
    CONNECTION
  }

  /** How the connection goes on after a body. */
  enum End {
    KEEP_OPEN,
    CLOSE,
    RESET
  }

  /**
   * Chooses the framing of a body, and whether and where it breaks off.
   *
   * <p>A body that is to end with its connection is never closed between two pieces, as nobody can
   * tell it from a whole one.
   *
   * @param out receives the body
   * @param pieces the pieces that will be written; whoever receives a whole answer gets them all
   * @param isStream whether a body that ends inside a piece can be told from a whole one
   * @param random random choices
   */
  SoakBody(OutputStream out, String[] pieces, boolean isStream, UniformRandomProvider random) {
    this.out = out;
    this.length = String.join("", pieces).length();
    this.framing = Framing.values()[random.nextInt(Framing.values().length)];
    boolean breaks = length > 0 && random.nextInt(BROKEN_ONE_IN) == 0;
    this.breakAt = breaks ? random.nextInt(length) : NEVER;
    boolean endIsUnknown =
        framing == Framing.CONNECTION && (!isStream || isBoundary(pieces, breakAt));
    this.breaksByReset = endIsUnknown || random.nextBoolean();
  }

  private static boolean isBoundary(String[] pieces, int position) {
    int end = 0;
    for (String piece : pieces) {
      if (end == position) {
        return true;
      }
      end += piece.length();
    }
    return false;
  }

  /** Returns the header that states the framing, with its line end, or the empty text. */
  String header() {
    return switch (framing) {
      case LENGTH -> "Content-Length: " + length + "\r\n";
      case CHUNKS -> "Transfer-Encoding: chunked\r\n";
      case CONNECTION -> "";
    };
  }

  /** Writes a piece or its first part; returns whether the body goes on. */
  boolean write(String piece) throws IOException {
    boolean breaks = breakAt >= written && breakAt < written + piece.length();
    String part = breaks ? piece.substring(0, breakAt - written) : piece;
    String text = part;
    if (framing == Framing.CHUNKS) {
      text = Integer.toHexString(piece.length()) + "\r\n" + part + (breaks ? "" : "\r\n");
    }
    written += piece.length();
    send(text);
    return !breaks;
  }

  /** Returns how the connection of a body that broke off ends. */
  End breakOff() {
    return breaksByReset ? End.RESET : End.CLOSE;
  }

  /** Writes the end of a whole body; returns how the connection goes on. */
  End finish() throws IOException {
    if (framing == Framing.CHUNKS) {
      send("0\r\n\r\n");
    }
    return framing == Framing.CONNECTION ? End.CLOSE : End.KEEP_OPEN;
  }

  private void send(String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }
}
