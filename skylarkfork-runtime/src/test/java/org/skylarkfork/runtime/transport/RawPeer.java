package org.skylarkfork.runtime.transport;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import org.skylarkfork.runtime.codec.Codec;

/** A peer on a plain socket whose frames are written and read by the test. */
final class RawPeer implements Closeable {

  private static final int READ_TIMEOUT_MILLIS = 20_000;

  private final Codec codec = new Codec();
  private final Socket socket;
  private final DataInputStream in;
  private final OutputStream out;

  RawPeer(int port) throws IOException {
    this(new Socket(InetAddress.getLoopbackAddress(), port));
  }

  RawPeer(Socket socket) throws IOException {
    this.socket = socket;
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    in = new DataInputStream(socket.getInputStream());
    out = socket.getOutputStream();
  }

  void write(byte[] bytes) throws IOException {
    out.write(bytes);
    out.flush();
  }

  void write(Handshake handshake) throws IOException {
    write(new Frame(Frame.Kind.HANDSHAKE, codec.toBytes(handshake)).toBytes());
  }

  Handshake readHandshake() throws IOException {
    byte[] frame = new byte[in.readInt()];
    in.readFully(frame);
    return codec.fromBytes(java.util.Arrays.copyOfRange(frame, 1, frame.length), Handshake.class);
  }

  /** Reads until the other side closes or resets. */
  void awaitEnd() throws IOException {
    try {
      while (in.read() >= 0) {
        continue;
      }
    } catch (java.net.SocketException reset) {
      return;
    }
  }

  /** Closes the output, so that the other side reaches the end of the stream. */
  void endWrites() throws IOException {
    socket.shutdownOutput();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
