package org.skylarkfork.standin.measure.daemon;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.effect.UpstreamEffect.DispatchDraft;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.event.UpstreamEvent.AttemptStage;
import org.skylarkfork.core.request.Usage;
import org.skylarkfork.core.routing.PromptPrefixes;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.CacheEvent;
import org.skylarkfork.core.upstream.LoadReport;
import org.skylarkfork.core.upstream.LoadedModel;
import org.skylarkfork.core.upstream.UpstreamKind;
import org.skylarkfork.standin.measure.VirtualTime;

/**
 * An engine with continuous batching, a bounded queue and a prefix cache.
 *
 * <p>A token takes longer the fuller the batch is. Its announcements tell the load of some time
 * ago, and one in ten cache events is lost.
 */
final class FakeEngine implements FakeUpstream {

  private static final int CHUNK = 8;
  private static final double BATCH_COST = 0.6;
  private static final double MILLIS_PER_PROMPT_TOKEN = 0.4;
  private static final double CACHED_FACTOR = 0.2;
  private static final int CACHED_PREFIXES = 64;
  private static final int MOST_BLOCKS = 8;
  private static final double LOST_EVENTS = 0.1;
  private static final double CUT_SHARE = 0.1;
  private static final double CROSSED_SHARE = 0.01;
  private static final double MICROS_PER_MILLI = 1_000;

  private final EngineSpec spec;
  private final Surroundings around;
  private final VirtualTime time;
  private final UniformRandomProvider random;
  private final Consumer<Event> daemon;
  private final Map<String, Job> jobs = new HashMap<>();
  private final Deque<Job> queue = new ArrayDeque<>();
  private final List<CacheEvent> cacheEvents = new ArrayList<>();
  private final Map<String, Boolean> cache =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          boolean full = size() > CACHED_PREFIXES;
          if (full) {
            tell(false, eldest.getKey());
          }
          return full;
        }
      };
  private final UpstreamFaults faults = new UpstreamFaults();
  private int running;
  private long sequence;
  private LoadReport load = LoadReport.IDLE;

  FakeEngine(EngineSpec spec, Surroundings around) {
    this.spec = spec;
    this.around = around;
    this.time = around.time();
    this.random = around.random();
    this.daemon = around.daemon();
  }

  @Override
  public String id() {
    return spec.id();
  }

  @Override
  public UpstreamFaults faults() {
    return faults;
  }

  /** Takes a draft, or says that it does not. */
  void dispatch(DispatchDraft draft) {
    if (faults.gone) {
      fail(draft.attemptId(), AttemptStage.BEFORE_CONNECT);
    } else if (faults.refusing || queue.size() >= 2 * spec.capacity()) {
      fail(draft.attemptId(), AttemptStage.REFUSED_NOT_STARTED);
    } else if (!faults.silent) {
      Job job = new Job(draft, around.ask(draft.request().requestId()));
      jobs.put(draft.attemptId(), job);
      queue.add(job);
      startNext();
    }
  }

  /** Ends a draft that is no longer wanted. */
  void cancel(String attemptId) {
    Job job = jobs.get(attemptId);
    if (job != null && !queue.remove(job)) {
      end(job);
    }
    jobs.remove(attemptId);
  }

  private void fail(String attemptId, AttemptStage stage) {
    daemon.accept(new UpstreamEvent.AttemptFailed(attemptId, stage, "as planned"));
  }

  private void startNext() {
    while (running < spec.capacity() && !queue.isEmpty()) {
      Job job = queue.removeFirst();
      running++;
      job.running = true;
      around.scores().started(job.ask.request().requestId());
      time.after(prefillMicros(job), () -> chunk(job));
    }
  }

  private long prefillMicros(Job job) {
    String key = job.draft.version().toString();
    List<String> prefixes = PromptPrefixes.of(key, job.draft.request().prompt(), MOST_BLOCKS);
    boolean cached = prefixes.stream().anyMatch(cache::containsKey);
    for (String prefix : prefixes) {
      if (cache.put(prefix, true) == null) {
        tell(true, prefix);
      }
    }
    double perToken = MILLIS_PER_PROMPT_TOKEN * (cached ? CACHED_FACTOR : 1) * faults.slowness;
    return Math.round(job.draft.request().promptTokens() * perToken * MICROS_PER_MILLI);
  }

  private void tell(boolean stored, String prefix) {
    sequence++;
    if (random.nextDouble() >= LOST_EVENTS) {
      cacheEvents.add(new CacheEvent(sequence, stored, prefix));
    }
  }

  private void chunk(Job job) {
    if (!job.running || faults.silent) {
      return;
    }
    int tokens = Math.min(CHUNK, job.total - job.offset);
    double batch = 1 + BATCH_COST * running / spec.capacity();
    double millis = tokens * spec.millisPerToken() * batch * faults.slowness;
    time.after(Math.round(millis * MICROS_PER_MILLI), () -> send(job, tokens));
  }

  private void send(Job job, int tokens) {
    if (!job.running || faults.silent) {
      return;
    }
    String id = job.draft.attemptId();
    if (job.cutAt >= 0 && job.offset >= job.cutAt) {
      end(job);
      fail(id, AttemptStage.ANSWER_BEGUN);
      return;
    }
    UpstreamEvent sent =
        new UpstreamEvent.TokensArrived(id, job.echo, job.offset, tokens, "t ".repeat(tokens));
    job.offset += tokens;
    boolean last = job.offset >= job.total;
    if (last) {
      end(job);
      around.finished(id, job.ask, job.draft.version());
    }
    daemon.accept(sent);
    if (last) {
      int made = job.total - (int) job.draft.resumeOffset();
      Usage usage = new Usage(job.draft.request().promptTokens(), made, 0);
      daemon.accept(new UpstreamEvent.DraftFinished(id, job.echo, "stop", usage));
      if (faults.crossing) {
        daemon.accept(sent);
      }
    } else {
      chunk(job);
    }
  }

  private void end(Job job) {
    if (job.running) {
      job.running = false;
      running--;
      jobs.remove(job.draft.attemptId());
      startNext();
    }
  }

  @Override
  public void lookAtLoad() {
    load = new LoadReport(running, queue.size(), (double) cache.size() / CACHED_PREFIXES, 0);
  }

  @Override
  public Announcement announcement() {
    List<LoadedModel> models = new ArrayList<>();
    for (ModelVersion version : spec.versions()) {
      models.add(new LoadedModel(version.model(), version.version(), List.of()));
    }
    Announcement announcement =
        new Announcement(
            spec.id(),
            1,
            "127.0.0.1",
            around.port(spec.id()),
            spec.zone(),
            UpstreamKind.ENGINE,
            null,
            models,
            "mixed",
            spec.capacity(),
            load,
            true,
            faults.leaving,
            faults.gone,
            cacheEvents);
    cacheEvents.clear();
    return announcement;
  }

  /** A draft that waits or runs. */
  private final class Job {
    private final DispatchDraft draft;
    private final Ask ask;
    private final String echo;
    private final int total;
    private final int cutAt;
    private int offset;
    private boolean running;

    Job(DispatchDraft draft, Ask ask) {
      this.draft = draft;
      this.ask = ask;
      total = Math.max(ask.tokens(), (int) draft.resumeOffset() + 1);
      offset = (int) draft.resumeOffset();
      boolean crossed = faults.crossing && random.nextDouble() < CROSSED_SHARE;
      echo = crossed ? "another" : draft.request().requestId();
      boolean cut = faults.cutting && random.nextDouble() < CUT_SHARE;
      cutAt = cut ? offset + random.nextInt(Math.max(1, total - offset)) : -1;
    }
  }
}
