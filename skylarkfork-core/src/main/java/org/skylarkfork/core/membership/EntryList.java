package org.skylarkfork.core.membership;

import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;

/** Makes the list of entries and times this entry's own way off it. */
public final class EntryList implements Part, EntryListing {

  private final Members members;
  private final ConfigurationView configuration;
  private final EntryListSettings settings;
  private boolean stopping;
  private @Nullable Instant delistedSince;

  /**
   * Makes a list.
   *
   * @param members the daemons that are there
   * @param configuration says which VMs are drained and whether this one holds its lease
   * @param settings how long callers keep a list
   */
  public EntryList(Members members, ConfigurationView configuration, EntryListSettings settings) {
    this.members = members;
    this.configuration = configuration;
    this.settings = settings;
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof LifecycleEvent.StopRequested) {
      stopping = true;
    }
    if (event instanceof LifecycleEvent.Tick || event instanceof LifecycleEvent.StopRequested) {
      boolean delisted = stopping || isDrained(members.self());
      if (!delisted) {
        delistedSince = null;
      } else if (delistedSince == null) {
        delistedSince = now;
      }
    }
  }

  @Override
  public EntryPage entries(Instant now) {
    List<Member> listed = members.live().stream().filter(member -> isListed(member, now)).toList();
    List<Member> unsuspected =
        listed.stream().filter(member -> !members.isSuspected(member.name())).toList();
    // If most others look dead, this daemon rather than they may be cut off: name them all then.
    List<Member> chosen = unsuspected.size() * 2 >= listed.size() ? unsuspected : listed;
    List<Entry> entries = chosen.stream().map(EntryList::entry).toList();
    return new EntryPage(entries, settings.lifetime().toMillis());
  }

  @Override
  public boolean acceptsNewWork(Instant now) {
    if (!configuration.mayServe(now) || members.isSuperseded()) {
      return false;
    }
    return delistedSince == null || now.isBefore(refusalStart(delistedSince));
  }

  private Instant refusalStart(Instant since) {
    // Another entry may name this one until it hears of the change, and a caller keeps that list
    // for its lifetime; refusing earlier would turn away callers who did as they were told.
    return since.plus(settings.propagationMargin()).plus(settings.lifetime());
  }

  private boolean isListed(Member member, Instant now) {
    if (!member.hasRole(Member.ENTRY) || isDrained(member)) {
      return false;
    }
    if (member.name().equals(members.self().name())) {
      return !stopping && configuration.mayServe(now) && !members.isSuperseded();
    }
    return member.serving() == ServingState.SERVING;
  }

  private boolean isDrained(Member member) {
    return configuration.current().drainedVms().contains(member.name());
  }

  private static Entry entry(Member member) {
    return new Entry(
        member.name(),
        member.host(),
        member.callerPort(),
        member.zone(),
        member.region(),
        member.weight());
  }
}
