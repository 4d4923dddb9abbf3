package org.skylarkfork.core.relay;

import java.util.ArrayList;
import java.util.List;
import org.skylarkfork.core.waiting.SlotDirectory;
import org.skylarkfork.core.waiting.SlotUpstream;

/** The upstreams of services without engines, as the shared queues of calls need them. */
public final class CallServiceDirectory implements SlotDirectory {

  private final RelayView view;

  /** Creates the directory of an entry's view. */
  public CallServiceDirectory(RelayEntryPart entry) {
    this((RelayView) entry);
  }

  CallServiceDirectory(RelayView view) {
    this.view = view;
  }

  @Override
  public List<SlotUpstream> upstreams(String service) {
    RelayService known = view.table().service(service);
    if (known == null || known.engine() != null) {
      return List.of();
    }
    List<SlotUpstream> upstreams = new ArrayList<>();
    for (TrackedUpstream upstream : view.upstreams(service)) {
      UpstreamCondition condition = upstream.condition();
      UpstreamInstance instance = upstream.instance();
      if (!condition.rejectsNewWork()) {
        upstreams.add(
            new SlotUpstream(
                instance.id(),
                instance.bornMillis(),
                instance.zone(),
                instance.version(),
                instance.slots(),
                condition == UpstreamCondition.READY));
      }
    }
    return upstreams;
  }
}
