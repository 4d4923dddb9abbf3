package org.skylarkfork.standin.measure;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongFunction;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.RequestKind;
import org.skylarkfork.core.routing.UpstreamChooser;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.LoadReport;
import org.skylarkfork.core.upstream.UpstreamKind;

/**
 * Lookups of three entries, one a zone, on twelve unequal servers whose load reports are late.
 *
 * <p>The load is a third of the capacity, but for a burst at a fixed start. After the burst one
 * server falls silent and one gets five times slower. A lookup that is not answered in a second is
 * cancelled and sent once more elsewhere.
 */
public final class ChooserMeasure {

  private static final Instant BEGIN = Instant.parse("2026-05-03T09:00:00Z");
  private static final String[] ZONES = {"utrecht-a", "utrecht-b", "amersfoort"};
  private static final int[] CAPACITIES = {4, 8, 16, 8};
  private static final double[] MEAN_MICROS = {20_000, 20_000, 25_000, 40_000};
  private static final long REPORT_MICROS = 1_000_000;
  private static final long REPORT_LAG_MICROS = 400_000;
  private static final long OTHER_ZONE_MICROS = 1_800;
  private static final long TIMEOUT_MICROS = 1_000_000;
  private static final double USUAL_LOAD = 0.33;
  private static final double BURST_LOAD = 0.85;
  private static final int BURST_BEGIN = 10;
  private static final int BURST_END = 20;
  private static final int FAULT_BEGIN = 30;
  private static final int END = 50;

  private final VirtualTime time = new VirtualTime(BEGIN);
  private final UniformRandomProvider random;
  private final List<SimulatedServer> servers = new ArrayList<>();
  private final List<UpstreamChooser> choosers = new ArrayList<>();
  private final List<List<Announcement>> known = new ArrayList<>();
  private final Histogram usual = new Histogram(3);
  private final Histogram burst = new Histogram(3);
  private final Histogram fault = new Histogram(3);
  private long requests;
  private int refused;

  /**
   * Makes the servers and entries.
   *
   * @param make makes an entry's chooser from the number of the entry
   * @param seed seed of arrivals and run times
   */
  public ChooserMeasure(LongFunction<UpstreamChooser> make, long seed) {
    random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    for (int i = 0; i < CAPACITIES.length * ZONES.length; i++) {
      servers.add(new SimulatedServer(time, random, capacity(i), meanMicros(i)));
    }
    for (int entry = 0; entry < ZONES.length; entry++) {
      choosers.add(make.apply(entry));
      List<Announcement> list = new ArrayList<>();
      for (int i = 0; i < servers.size(); i++) {
        list.add(announcement(i, LoadReport.IDLE));
      }
      known.add(list);
    }
  }

  /** Returns the zone of an entry. */
  public static String zone(long entry) {
    return ZONES[(int) entry];
  }

  /** Runs all and returns what it gave. */
  public Result run() {
    for (int i = 0; i < servers.size(); i++) {
      int server = i;
      time.after(random.nextLong(REPORT_MICROS), () -> report(server));
    }
    time.after(0, this::arrive);
    time.runUntil(BEGIN.plusSeconds(FAULT_BEGIN));
    servers.get(2).silence(true);
    servers.get(5).slowDown(5);
    time.runUntil(BEGIN.plusSeconds(END + 5));
    return new Result(figures(usual), figures(burst), figures(fault), refused);
  }

  private static int capacity(int server) {
    return CAPACITIES[server % CAPACITIES.length];
  }

  private static double meanMicros(int server) {
    return MEAN_MICROS[server % MEAN_MICROS.length];
  }

  private static String zoneOf(int server) {
    return ZONES[server / CAPACITIES.length];
  }

  private double second() {
    return (time.now().toEpochMilli() - BEGIN.toEpochMilli()) / 1_000.0;
  }

  private void arrive() {
    double second = second();
    if (second >= END) {
      return;
    }
    request((int) (requests % ZONES.length));
    boolean isBurst = second >= BURST_BEGIN && second < BURST_END;
    double perMicro = 0;
    for (int i = 0; i < servers.size(); i++) {
      perMicro += capacity(i) / meanMicros(i);
    }
    double rate = perMicro * (isBurst ? BURST_LOAD : USUAL_LOAD);
    time.after(Math.round(-Math.log(1 - random.nextDouble()) / rate), this::arrive);
  }

  private void request(int entry) {
    requests++;
    Lookup lookup = new Lookup(entry, lookupRequest(requests), time.now(), histogram());
    lookup.send();
  }

  private Histogram histogram() {
    double second = second();
    if (second >= FAULT_BEGIN) {
      return fault;
    }
    return second >= BURST_BEGIN && second < BURST_END ? burst : usual;
  }

  private void report(int index) {
    SimulatedServer server = servers.get(index);
    long age = REPORT_LAG_MICROS / 2_000;
    LoadReport report = new LoadReport(server.running(), server.queued(), 0, age);
    Announcement announced = announcement(index, report);
    time.after(
        REPORT_LAG_MICROS - age * 1_000,
        () -> {
          for (List<Announcement> list : known) {
            list.set(index, announced);
          }
        });
    time.after(REPORT_MICROS, () -> report(index));
  }

  private static Announcement announcement(int server, LoadReport load) {
    return new Announcement(
        String.format("lookup%02d", server),
        1,
        "127.0.0.1",
        9000 + server,
        zoneOf(server),
        UpstreamKind.SERVICE,
        "chips",
        List.of(),
        "mixed",
        capacity(server),
        load,
        true,
        false,
        false,
        List.of());
  }

  private static CallerRequest lookupRequest(long number) {
    return new CallerRequest(
        "r" + number,
        "hash",
        RequestKind.SERVICE,
        "",
        "chips",
        "GET",
        "/reads",
        List.of(),
        "",
        Bytes.EMPTY,
        0,
        0,
        false,
        0,
        null,
        null,
        null,
        BEGIN.plusSeconds(3_600),
        null);
  }

  private static Figures figures(Histogram histogram) {
    return new Figures(
        histogram.getTotalCount(),
        histogram.getValueAtPercentile(50) / 1_000.0,
        histogram.getValueAtPercentile(95) / 1_000.0,
        histogram.getValueAtPercentile(99) / 1_000.0);
  }

  /** Count and percentiles in milliseconds. */
  public record Figures(long count, double p50, double p95, double p99) {}

  /** What a run gave in its usual time, its burst and its faults. */
  public record Result(Figures usual, Figures burst, Figures fault, int refused) {}

  /** One lookup with up to two attempts. */
  private final class Lookup {
    private static final int MOST_ATTEMPTS = 2;

    private final int entry;
    private final CallerRequest request;
    private final Instant begun;
    private final Histogram histogram;
    private final Set<String> tried = new HashSet<>();
    private boolean done;

    Lookup(int entry, CallerRequest request, Instant begun, Histogram histogram) {
      this.entry = entry;
      this.request = request;
      this.begun = begun;
      this.histogram = histogram;
    }

    void send() {
      UpstreamChooser chooser = choosers.get(entry);
      Optional<Announcement> chosen = chooser.choose(known.get(entry), request, tried, time.now());
      if (chosen.isEmpty() || tried.size() >= MOST_ATTEMPTS) {
        refused++;
        record();
        return;
      }
      String id = chosen.get().id();
      tried.add(id);
      chooser.dispatched(id, request, time.now());
      int server = known.get(entry).indexOf(chosen.get());
      Attempt attempt = new Attempt(id);
      long delay = zoneOf(server).equals(zone(entry)) ? 0 : OTHER_ZONE_MICROS;
      time.after(
          delay / 2,
          () ->
              servers
                  .get(server)
                  .submit(attempt::isWanted, () -> time.after(delay / 2, attempt::answered)));
      time.after(TIMEOUT_MICROS, attempt::timedOut);
    }

    private void record() {
      done = true;
      long micros = (time.now().toEpochMilli() - begun.toEpochMilli()) * 1_000;
      histogram.recordValue(Math.max(1, micros));
    }

    /** One attempt, which ends once. */
    private final class Attempt {
      private final String upstream;
      private boolean ended;

      Attempt(String upstream) {
        this.upstream = upstream;
      }

      boolean isWanted() {
        return !ended;
      }

      void answered() {
        if (!ended) {
          ended = true;
          choosers.get(entry).ended(upstream, request, true, time.now());
          if (!done) {
            record();
          }
        }
      }

      void timedOut() {
        if (!ended) {
          ended = true;
          choosers.get(entry).ended(upstream, request, false, time.now());
          send();
        }
      }
    }
  }
}
