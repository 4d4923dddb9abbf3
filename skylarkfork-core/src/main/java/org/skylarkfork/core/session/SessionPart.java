package org.skylarkfork.core.session;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.MembershipEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.event.SessionEvent;
import org.skylarkfork.core.membership.Members;
import org.skylarkfork.core.message.SessionMessage;
import org.skylarkfork.core.request.CallerRequest;

/**
 * Remembers the versions that sessions keep: here, at two owners and in the caller's token.
 *
 * <p>Its place in the reducer is behind the part that handles requests, so that what a look-up or a
 * new pin sends goes out with the same event.
 */
public final class SessionPart implements Part, SessionPins {

  private static final int STORES_PER_EXPIRY = 4;
  private static final long NEVER = -1;

  private final Members members;
  private final ConfigurationView configuration;
  private final SessionSettings settings;
  private final SessionTokens tokens;
  private final PinStore owned;
  private final PinStore cache;
  private final PinHandover handover;
  private final Map<SessionKey, Ask> asks = new LinkedHashMap<>();
  private final List<Effect> unsent = new ArrayList<>();
  private SessionOwners owners;
  private long ownersEpoch;

  /**
   * Makes a part without sessions.
   *
   * @param members the daemons that are there
   * @param configuration says which versions are withdrawn
   * @param settings how pins are kept
   * @param tokens signs and checks tokens
   */
  public SessionPart(
      Members members,
      ConfigurationView configuration,
      SessionSettings settings,
      SessionTokens tokens) {
    this.members = members;
    this.configuration = configuration;
    this.settings = settings;
    this.tokens = tokens;
    owned = new PinStore(settings.maxOwnedSessions(), settings.expiry());
    cache = new PinStore(settings.maxCachedSessions(), settings.expiry());
    owners = new SessionOwners(members.live(), members.self().region());
    handover = new PinHandover(self(), owned, settings.handoverRate(), owners);
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof PeerEvent.MessageReceived received
        && received.message() instanceof SessionMessage message) {
      received(received.node(), message, now, output);
    } else if (event instanceof MembershipEvent change) {
      membersChanged(change);
    } else if (event instanceof LifecycleEvent.Tick) {
      endAsks(now, output);
      owned.expire(now);
      cache.expire(now);
      handover.tick(now, output);
    }
    unsent.forEach(output::effect);
    unsent.clear();
  }

  @Override
  public Lookup lookup(CallerRequest request, String team, Instant now) {
    if (request.session() == null) {
      return Lookup.KNOWN;
    }
    SessionKey key = new SessionKey(team, request.session());
    PinnedSession session = cache.useOrAdd(key, now);
    takeToken(request, key, session, now);
    if (isTrusted(session, now)) {
      keepAtOwners(key, session, now);
      return Lookup.KNOWN;
    }
    return ask(request.requestId(), key, session, now);
  }

  @Override
  public Optional<ModelVersion> pinned(String team, String session, String model) {
    PinnedSession known = cache.peek(new SessionKey(team, session));
    SessionPin pin = known == null ? null : known.pin(model);
    return pin == null ? Optional.empty() : Optional.of(pin.version());
  }

  @Override
  public String pin(String team, String session, ModelVersion version, Instant now) {
    SessionKey key = new SessionKey(team, session);
    PinnedSession known = cache.useOrAdd(key, now);
    SessionPin standing = known.pin(version.model());
    if (standing == null || !standing.version().equals(version)) {
      long generation = standing == null ? 0 : standing.generation() + 1;
      known.merge(new SessionPin(key, version, generation, now.toEpochMilli(), self()));
      known.storedEpoch = NEVER;
    }
    keepAtOwners(key, known, now);
    // Where this daemon owns the session, a pin that came before may hold against the new one.
    SessionPin holding = Objects.requireNonNull(known.pin(version.model()));
    return tokens.sign(holding, now.plus(settings.tokenLifetime()));
  }

  /** Returns how many sessions are kept here for others. */
  public int ownedSessions() {
    return owned.size();
  }

  private String self() {
    return members.self().name();
  }

  /** Takes the pin in the caller's token, which counts until the owners know better. */
  private void takeToken(
      CallerRequest request, SessionKey key, PinnedSession session, Instant now) {
    String token = request.sessionToken();
    if (token == null) {
      return;
    }
    SessionPin pin = tokens.verify(token, now).filter(read -> read.key().equals(key)).orElse(null);
    if (pin == null) {
      unsent.add(new TraceEffect.Count("session_tokens_refused", "", 1));
    } else if (!configuration.current().isWithdrawn(pin.version()) && session.merge(pin)) {
      session.storedEpoch = NEVER;
    }
  }

  /** Returns whether the owners have told of this session and tell of changes. */
  private boolean isTrusted(PinnedSession session, Instant now) {
    Duration trust = session.isEmpty() ? settings.emptyAnswerLifetime() : settings.expiry();
    return session.askedEpoch == ownersEpoch && session.askedAt.plus(trust).isAfter(now);
  }

  /** Sends pins to their owners if that is new to them, or long enough ago to keep them alive. */
  private void keepAtOwners(SessionKey key, PinnedSession session, Instant now) {
    boolean recent =
        session.storedAt.isAfter(now.minus(settings.expiry().dividedBy(STORES_PER_EXPIRY)));
    if (session.isEmpty() || recent && session.storedEpoch == ownersEpoch) {
      return;
    }
    session.storedAt = now;
    session.storedEpoch = ownersEpoch;
    for (String owner : owners.of(key)) {
      if (owner.equals(self())) {
        store(self(), session.pins(), true, now);
      } else {
        send(owner, new SessionMessage.StorePins(session.pins(), true));
      }
    }
  }

  private Lookup ask(String requestId, SessionKey key, PinnedSession session, Instant now) {
    List<String> others = new ArrayList<>(owners.of(key));
    if (others.remove(self())) {
      PinnedSession here = owned.useOrAdd(key, now);
      here.addAsker(self());
      here.pins().forEach(session::merge);
      if (others.isEmpty() || !here.isEmpty()) {
        settled(key, session, now);
        return Lookup.KNOWN;
      }
    }
    if (others.isEmpty()) {
      return Lookup.KNOWN;
    }
    Ask ask = asks.get(key);
    if (ask == null) {
      ask = new Ask(now.plus(settings.queryTimeout()), others);
      asks.put(key, ask);
      others.forEach(owner -> send(owner, new SessionMessage.AskPins(key)));
    }
    ask.requests.add(requestId);
    return Lookup.PENDING;
  }

  private void settled(SessionKey key, PinnedSession session, Instant now) {
    session.askedAt = now;
    session.askedEpoch = ownersEpoch;
    keepAtOwners(key, session, now);
  }

  private void received(String node, SessionMessage message, Instant now, Output output) {
    if (message instanceof SessionMessage.StorePins stored) {
      store(node, stored.pins(), stored.follow(), now);
    } else if (message instanceof SessionMessage.AskPins asked) {
      PinnedSession session = owned.useOrAdd(asked.key(), now);
      session.addAsker(node);
      send(node, new SessionMessage.PinsAnswer(asked.key(), session.pins()));
    } else if (message instanceof SessionMessage.PinsAnswer answer) {
      answered(node, answer, now, output);
    }
  }

  private void store(String writer, List<SessionPin> pins, boolean follow, Instant now) {
    Set<SessionKey> changed = new LinkedHashSet<>();
    for (SessionPin pin : pins) {
      PinnedSession session = owned.useOrAdd(pin.key(), now);
      if (session.merge(pin)) {
        changed.add(pin.key());
      } else if (!pin.equals(session.pin(pin.model()))) {
        tell(writer, pin.key(), session, now);
      }
      if (follow) {
        session.addAsker(writer);
      }
    }
    for (SessionKey key : changed) {
      PinnedSession session = owned.useOrAdd(key, now);
      for (String asker : session.askers) {
        if (!asker.equals(writer)) {
          tell(asker, key, session, now);
        }
      }
    }
  }

  private void tell(String node, SessionKey key, PinnedSession session, Instant now) {
    if (node.equals(self())) {
      PinnedSession cached = cache.useOrAdd(key, now);
      session.pins().forEach(cached::merge);
    } else {
      send(node, new SessionMessage.PinsAnswer(key, session.pins()));
    }
  }

  private void answered(String node, SessionMessage.PinsAnswer answer, Instant now, Output output) {
    PinnedSession session = cache.useOrAdd(answer.key(), now);
    answer.pins().forEach(session::merge);
    if (owners.of(answer.key()).contains(self())) {
      store(node, answer.pins(), false, now);
    }
    Ask ask = asks.get(answer.key());
    if (ask == null) {
      return;
    }
    ask.waitingFor.remove(node);
    // One owner may have started a moment ago and know nothing, so its "none" doesn't settle it.
    if (ask.waitingFor.isEmpty() || !answer.pins().isEmpty()) {
      ask.answered = true;
      resolve(answer.key(), ask, now, output);
    }
  }

  private void resolve(SessionKey key, Ask ask, Instant now, Output output) {
    asks.remove(key);
    PinnedSession session = cache.useOrAdd(key, now);
    if (ask.answered) {
      settled(key, session, now);
    }
    ask.requests.forEach(id -> output.raise(new SessionEvent.PinsResolved(id)));
  }

  private void endAsks(Instant now, Output output) {
    Map<SessionKey, Ask> late = new LinkedHashMap<>();
    asks.forEach(
        (key, ask) -> {
          if (!now.isBefore(ask.deadline)) {
            late.put(key, ask);
          }
        });
    late.forEach(
        (key, ask) -> {
          output.effect(new TraceEffect.Count("session_owners_silent", "", 1));
          resolve(key, ask, now, output);
        });
  }

  private void membersChanged(MembershipEvent change) {
    SessionOwners now = new SessionOwners(members.live(), members.self().region());
    String restarted =
        change instanceof MembershipEvent.MemberJoined joined ? joined.member().name() : "";
    if (restarted.isEmpty() && now.sameAs(owners)) {
      return;
    }
    owners = now;
    ownersEpoch++;
    handover.ownersChanged(owners, restarted);
  }

  private void send(String node, SessionMessage message) {
    unsent.add(new PeerEffect.SendToPeer(node, message));
  }

  private static final class Ask {
    private final Instant deadline;
    private final Set<String> waitingFor;
    private final Set<String> requests = new TreeSet<>();
    private boolean answered;

    private Ask(Instant deadline, List<String> asked) {
      this.deadline = deadline;
      waitingFor = new TreeSet<>(asked);
    }
  }
}
