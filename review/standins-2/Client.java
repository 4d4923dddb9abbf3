import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.UUID;

/** A client of an entry that reads strictly. */
final class Client {

  /**
   * What a client got.
   *
   * @param id id of the request
   * @param status status of the answer, or 0 if none came
   * @param body what came of the body
   * @param end how the answer ended: whole, cut, or open if its end didn't come in time
   * @param millis time from the send to the end, in milliseconds
   * @param seal the server's signature, empty if there was none
   */
  record Result(String id, int status, String body, String end, long millis, String seal) {}

  private Client() {}

  static String newId() {
    return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
  }

  /**
   * Sends a request on a connection of its own and reads the answer.
   *
   * @param patience time from the send after which the client stops reading, in milliseconds
   */
  static Result send(
      InetSocketAddress entry, String id, String request, byte[] body, long patience) {
    long sentAt = System.nanoTime();
    StringBuilder text = new StringBuilder();
    int status = 0;
    String seal = "";
    String end;
    try (Socket socket = new Socket()) {
      socket.connect(entry, 1000);
      socket.setTcpNoDelay(true);
      byte[] head = request.getBytes(StandardCharsets.ISO_8859_1);
      sentAt = System.nanoTime();
      socket.getOutputStream().write(head);
      socket.getOutputStream().write(body);
      socket.getOutputStream().flush();
      InputStream in = new BufferedInputStream(new Patient(socket, sentAt, patience));
      Message answer = Message.readHead(in);
      if (answer == null) {
        throw new EOFException("closed without an answer");
      }
      status = answer.status();
      seal = answer.header("x-server-seal");
      if (answer.header("transfer-encoding").equalsIgnoreCase("chunked")) {
        for (byte[] chunk = Message.readChunk(in);
            chunk.length > 0;
            chunk = Message.readChunk(in)) {
          text.append(new String(chunk, StandardCharsets.ISO_8859_1));
        }
      } else {
        int length = Integer.parseInt(answer.header("content-length"));
        text.append(new String(Message.readExactly(in, length), StandardCharsets.ISO_8859_1));
      }
      end = "whole";
    } catch (SocketTimeoutException late) {
      end = "open";
    } catch (IOException cut) {
      end = "cut";
    } catch (RuntimeException malformed) {
      end = "malformed " + malformed.getMessage();
    }
    long millis = (System.nanoTime() - sentAt) / 1_000_000;
    return new Result(id, status, text.toString(), end, millis, seal);
  }

  /** Reads a socket until a time. */
  private static final class Patient extends InputStream {

    private final Socket socket;
    private final long end;

    Patient(Socket socket, long sentAt, long patience) {
      this.socket = socket;
      this.end = sentAt + patience * 1_000_000;
    }

    @Override
    public int read() throws IOException {
      byte[] one = new byte[1];
      return read(one, 0, 1) < 0 ? -1 : one[0] & 0xFF;
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
      long left = (end - System.nanoTime()) / 1_000_000;
      if (left <= 0) {
        throw new SocketTimeoutException("the client has waited long enough");
      }
      socket.setSoTimeout((int) left);
      return socket.getInputStream().read(bytes, offset, length);
    }
  }
}
