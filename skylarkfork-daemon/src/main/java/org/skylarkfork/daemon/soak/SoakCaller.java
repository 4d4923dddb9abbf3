package org.skylarkfork.daemon.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntUnaryOperator;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;

/** A caller that sends one request at a time and keeps its connection open. */
final class SoakCaller {

  private static final int TIMEOUT_MILLIS = 6000;
  private static final long PAUSE_MILLIS = 15;

  private final int number;
  private final int entries;
  private final IntUnaryOperator ports;
  private final Supplier<String> keys;
  private final Consumer<SoakAnswer> answers;
  private final UniformRandomProvider random;
  private @Nullable Socket socket;
  private InputStream input = InputStream.nullInputStream();
  private int entry;
  private int sent;
  private volatile boolean stopped;

  /**
   * Creates a caller.
   *
   * @param number number of the caller
   * @param entries number of entries
   * @param ports returns the port of an entry
   * @param keys returns the key to use
   * @param answers receives the outcome of each request
   * @param seed seed of random choices
   */
  SoakCaller(
      int number,
      int entries,
      IntUnaryOperator ports,
      Supplier<String> keys,
      Consumer<SoakAnswer> answers,
      long seed) {
    this.number = number;
    this.entries = entries;
    this.ports = ports;
    this.keys = keys;
    this.answers = answers;
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
  }

  void stop() {
    stopped = true;
  }

  void run() {
    try {
      while (!stopped) {
        answers.accept(ask());
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS + random.nextLong(PAUSE_MILLIS));
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } finally {
      hangUp();
    }
  }

  private void hangUp() {
    if (socket != null) {
      SoakThreads.reset(socket);
      socket = null;
    }
  }

  private SoakAnswer ask() {
    sent++;
    SoakAnswer.Kind kind = SoakAnswer.Kind.values()[random.nextInt(3)];
    String id = requestId();
    String key = keys.get();
    Instant sentAt = Instant.now();
    try {
      final InputStream in = open();
      id = requestId();
      Socket to = socket;
      if (to == null) {
        throw new IOException("no connection");
      }
      to.getOutputStream().write(request(kind, id, key).getBytes(StandardCharsets.UTF_8));
      sentAt = Instant.now();
      return answer(kind, id, key, sentAt, in);
    } catch (IOException cut) {
      hangUp();
      String detail = String.valueOf(cut.getMessage());
      return new SoakAnswer(
          id, kind, key, entry, sentAt, Instant.now(), 0, false, detail, List.of());
    }
  }

  /** Returns the id of the current request, which begins with the name of its entry. */
  private String requestId() {
    return "entry-" + (entry + 1) + "-c" + number + "-" + sent;
  }

  private InputStream open() throws IOException {
    if (socket == null || random.nextInt(10) == 0) {
      hangUp();
      entry = random.nextInt(entries);
      Socket opened = new Socket("127.0.0.1", ports.applyAsInt(entry));
      opened.setSoTimeout(TIMEOUT_MILLIS);
      opened.setTcpNoDelay(true);
      socket = opened;
      // Kept with the connection, so that an answer too many is read in the next one's place.
      input = new BufferedInputStream(opened.getInputStream());
    }
    return input;
  }

  private static String request(SoakAnswer.Kind kind, String id, String key) {
    return "GET "
        + kind.path
        + "x HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: "
        + id
        + "\r\nAuthorization: Bearer "
        + key
        + "\r\n\r\n";
  }

  private SoakAnswer answer(
      SoakAnswer.Kind kind, String id, String key, Instant sentAt, InputStream in)
      throws IOException {
    Head head = Head.read(in);
    int status = Integer.parseInt(head.path());
    String text =
        head.value("transfer-encoding").isEmpty()
            ? new String(in.readNBytes(head.length()), StandardCharsets.UTF_8)
            : chunks(in);
    String detail = status == 200 ? fault(kind, id, head, text) : "";
    if (head.value("connection").equals("close")) {
      hangUp();
    }
    return new SoakAnswer(
        id,
        kind,
        key,
        entry,
        sentAt,
        Instant.now(),
        status,
        detail.isEmpty(),
        detail,
        RunMark.in(text));
  }

  private static String chunks(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int size = size(in); size > 0; size = size(in)) {
      byte[] chunk = in.readNBytes(size);
      if (chunk.length < size) {
        throw new IOException("the stream ends in a chunk");
      }
      text.append(new String(chunk, StandardCharsets.UTF_8));
      Head.line(in);
    }
    Head.line(in);
    return text.toString();
  }

  private static int size(InputStream in) throws IOException {
    return Integer.parseInt(Head.line(in).trim(), 16);
  }

  private static String fault(SoakAnswer.Kind kind, String id, Head head, String text) {
    if (!head.value("x-request-id").equals(id)) {
      return "the answer is that of " + head.value("x-request-id");
    }
    StringBuilder expected = new StringBuilder();
    if (kind == SoakAnswer.Kind.STREAM) {
      for (int event = 1; event <= SoakUpstream.EVENTS; event++) {
        expected.append(SoakUpstream.event(id, event, ""));
      }
    } else {
      expected.append(SoakUpstream.body(id));
    }
    return expected.toString().equals(RunMark.removed(text)) ? "" : "the answer is '" + text + "'";
  }
}
