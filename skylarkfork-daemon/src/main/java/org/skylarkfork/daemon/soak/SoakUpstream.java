package org.skylarkfork.daemon.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * An upstream that counts the runs of each request; its answers depend on the request's id and on
 * the number of the run, which they name.
 */
final class SoakUpstream implements AutoCloseable {

  /** Number of events of a stream. */
  static final int EVENTS = 6;

  private static final long EVENT_MILLIS = 25;
  private static final long WORK_MILLIS = 8;

  /** More than the runs of any request, so that no two runs have the same random choices. */
  private static final int MAX_RUNS = 1000;

  private final ServerSocket listener;

  /** Shortest and longest backoff that a full upstream asks for, in seconds. */
  private static final int MIN_BACKOFF_SECONDS = 3;

  private static final int MAX_BACKOFF_SECONDS = 6;

  /** One in so many requests is rejected with a backoff, so that each run has some of them. */
  private static final int REJECTED_ONE_IN = 200;

  private static final int MAX_FAILING_RUNS = 3;
  private static final String STREAM_TYPE = "text/event-stream";

  private final int number;
  private final long seed;
  private final AnswerFaults faults;
  private final RunWitness runs;
  private final BackoffWitness backoffs;
  private final String version;
  private final Duration delay;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile boolean full;

  /**
   * Opens an upstream.
   *
   * @param number number of the upstream
   * @param settings seed of the upstream's choices, and how it fails and repeats answers
   * @param runs records the runs of each request at all upstreams
   * @param backoffs records each request, and each backoff that the upstream asks for
   * @param version version of the service that the upstream runs
   * @param delay time before each answer begins
   */
  SoakUpstream(
      int number,
      SoakSettings settings,
      RunWitness runs,
      BackoffWitness backoffs,
      String version,
      Duration delay)
      throws IOException {
    this.number = number;
    this.seed = settings.seed();
    this.faults = settings.answerFaults();
    this.version = version;
    this.delay = delay;
    this.runs = runs;
    this.backoffs = backoffs;
    this.listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    SoakThreads.start("upstream", this::accept);
  }

  String version() {
    return version;
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Sets whether the upstream rejects all requests unexecuted and asks for backoffs. */
  void full(boolean now) {
    full = now;
  }

  /** Resets all connections, with or without a request in progress. */
  void crash() {
    open.forEach(SoakThreads::reset);
  }

  private void accept() throws IOException {
    while (true) {
      Socket socket = listener.accept();
      open.add(socket);
      SoakThreads.start("upstream", () -> serve(socket));
    }
  }

  private void serve(Socket socket) throws IOException {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Stutter stutter = new Stutter(faults, runs, socket, in);
      SoakBody.End end = SoakBody.End.KEEP_OPEN;
      while (end == SoakBody.End.KEEP_OPEN) {
        Head head = Head.read(in);
        in.readNBytes(head.length());
        end = answer(head, socket.getOutputStream(), stutter);
        if (end != SoakBody.End.RESET) {
          end = stutter.finish(end);
        }
      }
      if (end == SoakBody.End.RESET) {
        SoakThreads.reset(socket);
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } finally {
      open.remove(socket);
    }
  }

  private SoakBody.End answer(Head head, OutputStream out, Stutter stutter)
      throws IOException, InterruptedException {
    String id = head.value("x-request-id");
    backoffs.onRequest(number, id, Instant.now());
    if (full || isRejected(id)) {
      refuse(id, out, stutter);
      return SoakBody.End.KEEP_OPEN;
    }
    TimeUnit.MILLISECONDS.sleep(delay.toMillis());
    int run = runs.begin(id);
    UniformRandomProvider random =
        RandomSource.SPLIT_MIX_64.create((seed * 31 + id.hashCode()) * MAX_RUNS + run);
    if (fails(id, run)) {
      runs.onFailed(id, run);
      return fail(head, run, random, out, stutter);
    }
    String again = joined(head, new RunMark(run, true));
    SoakBody.End end = send(head, pieces(head, new RunMark(run, false)), random, out);
    if (end != SoakBody.End.RESET) {
      write(out, stutter.plan(success(head), again, end, random));
    }
    return end;
  }

  private boolean fails(String id, int run) {
    UniformRandomProvider random =
        RandomSource.SPLIT_MIX_64.create(seed * 31 + ("fails " + id).hashCode());
    return random.nextDouble() < faults.failingShare()
        && run <= 1 + random.nextInt(MAX_FAILING_RUNS);
  }

  /** Answers with a failure; the second answer to it may be a success. */
  private static SoakBody.End fail(
      Head head, int run, UniformRandomProvider random, OutputStream out, Stutter stutter)
      throws IOException {
    String start = start("500 Failed", head, "text/plain");
    String body = "failed" + new RunMark(run, false).text();
    String first = start + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    RunMark again = new RunMark(run, true);
    String second =
        random.nextBoolean()
            ? stutter.plan(success(head), joined(head, again), SoakBody.End.KEEP_OPEN, random)
            : stutter.plan(start, "failed" + again.text(), SoakBody.End.KEEP_OPEN, random);
    write(out, first + second);
    return SoakBody.End.KEEP_OPEN;
  }

  private boolean isRejected(String id) {
    return Math.floorMod((id + number).hashCode(), REJECTED_ONE_IN) == 0;
  }

  private void refuse(String id, OutputStream out, Stutter stutter) throws IOException {
    int range = MAX_BACKOFF_SECONDS - MIN_BACKOFF_SECONDS + 1;
    int seconds = MIN_BACKOFF_SECONDS + Math.floorMod(id.hashCode(), range);
    String entry = BackoffWitness.entryOf(id);
    if (!stutter.hidesAnswers()) {
      backoffs.onAsked(number, entry, Instant.now(), Duration.ofSeconds(seconds));
    }
    write(
        out,
        "HTTP/1.1 503 Full\r\nX-Not-Started: true\r\nX-Request-Id: "
            + id
            + "\r\nRetry-After: "
            + seconds
            + "\r\nContent-Length: 0\r\n\r\n");
  }

  private static boolean isStream(Head head) {
    return head.path().startsWith("/stream/");
  }

  private static String[] pieces(Head head, RunMark mark) {
    String id = head.value("x-request-id");
    if (!isStream(head)) {
      return new String[] {body(id) + mark.text()};
    }
    String last = head.value("last-event-id");
    int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
    return IntStream.rangeClosed(first, EVENTS)
        .mapToObj(number -> event(id, number, mark.text()))
        .toArray(String[]::new);
  }

  private static String joined(Head head, RunMark mark) {
    return String.join("", pieces(head, mark));
  }

  private static String success(Head head) {
    return start("200 OK", head, isStream(head) ? STREAM_TYPE : "text/plain");
  }

  /** Returns the head of an answer without its framing and its empty line. */
  private static String start(String status, Head request, String contentType) {
    return "HTTP/1.1 "
        + status
        + "\r\nX-Request-Id: "
        + request.value("x-request-id")
        + "\r\nContent-Type: "
        + contentType
        + "\r\n";
  }

  private static SoakBody.End send(
      Head head, String[] pieces, UniformRandomProvider random, OutputStream out)
      throws IOException, InterruptedException {
    SoakBody body = new SoakBody(out, pieces, isStream(head), random);
    write(out, success(head) + body.header() + "\r\n");
    for (String piece : pieces) {
      TimeUnit.MILLISECONDS.sleep(isStream(head) ? EVENT_MILLIS : WORK_MILLIS);
      if (!body.write(piece)) {
        return body.breakOff();
      }
    }
    return body.finish();
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  /** Returns the body of the answer to a request, without the mark of a run. */
  static String body(String id) {
    return "the answer to " + id;
  }

  /** Returns an event of the stream that answers a request. */
  static String event(String id, int number, String mark) {
    return "id: " + number + "\ndata: " + id + " part " + number + mark + "\n\n";
  }

  @Override
  public void close() throws IOException {
    listener.close();
    crash();
  }
}
