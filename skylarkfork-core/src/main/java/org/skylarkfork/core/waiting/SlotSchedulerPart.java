package org.skylarkfork.core.waiting;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.message.SlotMessage.SlotAsk;
import org.skylarkfork.core.message.SlotMessage.SlotNews;
import org.skylarkfork.core.returning.RetryTimes;

/**
 * A scheduler's side of the shared queues: grants the slots of plain services to the calls of all
 * entries.
 *
 * <p>Its knowledge is lost if it fails. Its successor starts as if no call were running; the
 * upstreams still reject calls while they are full. A daemon answers whoever asks it, whether or
 * not it is the one that its own view names.
 */
public final class SlotSchedulerPart implements Part {

  private final SlotDirectory directory;
  private final Supplier<RetryTimes> retryTimes;
  private final Map<String, WaitingRoom> rooms = new HashMap<>();

  /**
   * Creates the part.
   *
   * @param directory the upstreams of plain services
   * @param retryTimes creates the retry times of a service's refused callers
   */
  public SlotSchedulerPart(SlotDirectory directory, Supplier<RetryTimes> retryTimes) {
    this.directory = directory;
    this.retryTimes = retryTimes;
  }

  /** Returns the number of calls that wait for a slot. */
  public int waiting() {
    return rooms.values().stream().mapToInt(WaitingRoom::waiting).sum();
  }

  /** Returns the number of calls that hold a slot. */
  public int running() {
    return rooms.values().stream().mapToInt(WaitingRoom::running).sum();
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof LifecycleEvent.Tick) {
      tick(now, output);
    } else if (event instanceof PeerEvent.MessageReceived received) {
      if (received.message() instanceof SlotAsk ask) {
        onAsk(new SlotCall.Id(received.node(), ask.number()), ask, now, output);
      } else if (received.message() instanceof SlotNews news) {
        onNews(new SlotCall.Id(received.node(), news.number()), news, now, output);
      }
    }
  }

  private void onAsk(SlotCall.Id id, SlotAsk ask, Instant now, Output output) {
    List<SlotUpstream> upstreams = directory.upstreams(ask.service());
    WaitingRoom room = rooms.get(ask.service());
    if (room == null) {
      room = new WaitingRoom(retryTimes.get());
      if (!upstreams.isEmpty()) {
        rooms.put(ask.service(), room);
      }
    }
    room.refresh(upstreams);
    room.ask(id, ask, now, new SlotAnswers(now, output));
  }

  private void onNews(SlotCall.Id id, SlotNews news, Instant now, Output output) {
    for (Map.Entry<String, WaitingRoom> entry : rooms.entrySet()) {
      if (entry.getValue().holds(id)) {
        entry.getValue().refresh(directory.upstreams(entry.getKey()));
        entry.getValue().report(id, news, now, new SlotAnswers(now, output));
        return;
      }
    }
  }

  private void tick(Instant now, Output output) {
    rooms.forEach(
        (service, room) -> {
          room.refresh(directory.upstreams(service));
          room.tick(now, new SlotAnswers(now, output));
        });
    rooms
        .entrySet()
        .removeIf(
            entry -> entry.getValue().isIdle() && directory.upstreams(entry.getKey()).isEmpty());
  }
}
