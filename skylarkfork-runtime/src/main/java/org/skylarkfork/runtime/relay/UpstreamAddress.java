package org.skylarkfork.runtime.relay;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import org.jspecify.annotations.Nullable;

/** Reads where an upstream listens: an IP number, a colon and a port. */
public final class UpstreamAddress {

  private static final int MAX_PORT = 65_535;
  private static final int MAX_PORT_DIGITS = 5;

  private UpstreamAddress() {}

  /** Returns whether a text is an address that can be connected to. */
  public static boolean isValid(String text) {
    return parse(text) != null;
  }

  /** Returns the address, or null if the text is none; names are not looked up. */
  static @Nullable InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    byte[] number =
        colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    int port = parsePort(text.substring(colon + 1));
    if (number == null || port <= 0) {
      return null;
    }
    try {
      return new InetSocketAddress(InetAddress.getByAddress(number), port);
    } catch (UnknownHostException unreadable) {
      return null;
    }
  }

  /** Returns the port, or 0 if the text is none. */
  private static int parsePort(String text) {
    boolean digits =
        !text.isEmpty()
            && text.length() <= MAX_PORT_DIGITS
            && text.chars().allMatch(letter -> letter >= '0' && letter <= '9');
    int port = digits ? Integer.parseInt(text) : 0;
    return port > MAX_PORT ? 0 : port;
  }
}
