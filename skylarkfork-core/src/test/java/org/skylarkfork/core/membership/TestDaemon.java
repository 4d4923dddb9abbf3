package org.skylarkfork.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.MembershipEvent;

/** One process in a {@link TestNetwork}. */
final class TestDaemon {

  final Member self;
  final FixedConfiguration configuration = new FixedConfiguration();
  final MembershipPart membership;
  final EntryList entries;
  final DirectoryPart directory;
  final List<MembershipEvent> raised = new ArrayList<>();
  final List<String> warnings = new ArrayList<>();
  final Map<String, String> addressBook = new HashMap<>();
  final Reducer reducer;
  Duration slowness = Duration.ZERO;
  Instant stuckUntil = Instant.MIN;
  boolean running = true;

  TestDaemon(Member self, List<Seed> seeds, long seed) {
    this.self = self;
    membership = new MembershipPart(self, seeds, configuration, MembershipSettings.DEFAULT, seed);
    entries = new EntryList(membership, configuration, EntryListSettings.DEFAULT);
    directory = new DirectoryPart(self.name(), configuration, DirectorySettings.DEFAULT);
    Part recorder = (event, now, output) -> record(event);
    reducer = new Reducer(List.of(membership, entries, directory, recorder));
  }

  void take(TraceEffect.LogLine line) {
    if (line.warning()) {
      warnings.add(line.sentence());
    }
  }

  List<String> liveNames() {
    return membership.live().stream().map(Member::name).toList();
  }

  List<String> listed(Instant now) {
    return entries.entries(now).entries().stream().map(EntryListing.Entry::name).toList();
  }

  long deathsSeen() {
    return raised.stream().filter(event -> event instanceof MembershipEvent.MemberDied).count();
  }

  private void record(Event event) {
    if (event instanceof MembershipEvent membershipEvent) {
      raised.add(membershipEvent);
    }
    if (event instanceof LifecycleEvent.Ending) {
      running = false;
    }
  }
}
