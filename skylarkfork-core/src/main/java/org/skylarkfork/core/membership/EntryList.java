package org.skylarkfork.core.membership;

import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;

/**
 * Creates the list of entries and determines until when this entry accepts work after its removal.
 */
public final class EntryList implements Part, EntryListing {

  private final Members members;
  private final ConfigurationView configuration;
  private final EntryListSettings settings;
  private boolean stopping;
  private @Nullable Instant delistedSince;

  /**
   * Creates the list.
   *
   * @param members the live daemons
   * @param configuration provides the drained VMs and whether this daemon holds its configuration
   *     lease
   * @param settings lifetime of lists
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
    // If most listed entries are suspected, this daemon is probably isolated itself, so all are
    // listed.
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
    // Other entries may list this one until they receive the change, and a caller may use such a
    // list for its lifetime. An earlier refusal would reject callers with a valid list.
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
