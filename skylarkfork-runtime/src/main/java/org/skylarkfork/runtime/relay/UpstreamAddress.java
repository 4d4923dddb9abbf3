package org.skylarkfork.runtime.relay;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import org.jspecify.annotations.Nullable;

/** Parses the address of an upstream: an IP address, a colon and a port. */
public final class UpstreamAddress {

  private static final int MAX_PORT = 65_535;
  private static final int MAX_PORT_DIGITS = 5;

  private UpstreamAddress() {}

  /** Returns whether a text is a valid address. */
  public static boolean isValid(String text) {
    return parse(text) != null;
  }

  /** Returns the address, or null if the text isn't a valid one; host names aren't resolved. */
  static @Nullable InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    byte[] ipBytes =
        colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    int port = parsePort(text.substring(colon + 1));
    if (ipBytes == null || port <= 0) {
      return null;
    }
    try {
      return new InetSocketAddress(InetAddress.getByAddress(ipBytes), port);
    } catch (UnknownHostException invalid) {
      return null;
    }
  }

  /** Returns the port, or 0 if the text isn't a valid port. */
  private static int parsePort(String text) {
    boolean digits =
        !text.isEmpty()
            && text.length() <= MAX_PORT_DIGITS
            && text.chars().allMatch(character -> character >= '0' && character <= '9');
    int port = digits ? Integer.parseInt(text) : 0;
    return port > MAX_PORT ? 0 : port;
  }
}
