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
  private static final long NO_EPOCH = -1;

  private final Members members;
  private final ConfigurationView configuration;
  private final SessionSettings settings;
  private final SessionTokens tokens;
  private final PinStore owned;
  private final PinStore cache;
  private final PinHandover handover;
  private final Map<SessionKey, OwnerQuery> queries = new LinkedHashMap<>();
  private final List<Effect> pendingEffects = new ArrayList<>();
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
      handleMessage(received.node(), message, now, output);
    } else if (event instanceof MembershipEvent change) {
      membersChanged(change);
    } else if (event instanceof LifecycleEvent.Tick) {
      expireQueries(now, output);
      owned.expire(now);
      cache.expire(now);
      handover.tick(now, output);
    }
    pendingEffects.forEach(output::effect);
    pendingEffects.clear();
  }

  @Override
  public Lookup lookup(CallerRequest request, String team, Instant now) {
    if (request.session() == null) {
      return Lookup.KNOWN;
    }
    SessionKey key = new SessionKey(team, request.session());
    PinnedSession session = cache.getOrCreate(key, now);
    mergeToken(request, key, session, now);
    if (isConfirmed(session, now)) {
      storeAtOwners(key, session, now);
      return Lookup.KNOWN;
    }
    return queryOwners(request.requestId(), key, session, now);
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
    PinnedSession known = cache.getOrCreate(key, now);
    SessionPin current = known.pin(version.model());
    if (current == null || !current.version().equals(version)) {
      long generation = current == null ? 0 : current.generation() + 1;
      known.merge(new SessionPin(key, version, generation, now.toEpochMilli(), self()));
      known.storedEpoch = NO_EPOCH;
    }
    storeAtOwners(key, known, now);
    // Where this daemon owns the session, a pin that came before may hold against the new one.
    SessionPin effective = Objects.requireNonNull(known.pin(version.model()));
    return tokens.sign(effective, now.plus(settings.tokenLifetime()));
  }

  /** Returns how many sessions are kept here for others. */
  public int ownedSessions() {
    return owned.size();
  }

  private String self() {
    return members.self().name();
  }

  /** Takes the pin in the caller's token, which counts until the owners know better. */
  private void mergeToken(
      CallerRequest request, SessionKey key, PinnedSession session, Instant now) {
    String token = request.sessionToken();
    if (token == null) {
      return;
    }
    SessionPin pin = tokens.verify(token, now).filter(read -> read.key().equals(key)).orElse(null);
    if (pin == null) {
      pendingEffects.add(new TraceEffect.Count("session_tokens_refused", "", 1));
    } else if (!configuration.current().isWithdrawn(pin.version()) && session.merge(pin)) {
      session.storedEpoch = NO_EPOCH;
    }
  }

  /** Returns whether the owners have told of this session and tell of changes. */
  private boolean isConfirmed(PinnedSession session, Instant now) {
    Duration lifetime = session.isEmpty() ? settings.emptyAnswerLifetime() : settings.expiry();
    return session.confirmedEpoch == ownersEpoch && session.confirmedAt.plus(lifetime).isAfter(now);
  }

  /** Sends pins to their owners if that is new to them, or long enough ago to keep them alive. */
  private void storeAtOwners(SessionKey key, PinnedSession session, Instant now) {
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

  private Lookup queryOwners(String requestId, SessionKey key, PinnedSession session, Instant now) {
    List<String> others = new ArrayList<>(owners.of(key));
    if (others.remove(self())) {
      PinnedSession ownedSession = owned.getOrCreate(key, now);
      ownedSession.addSubscriber(self());
      ownedSession.pins().forEach(session::merge);
      if (others.isEmpty() || !ownedSession.isEmpty()) {
        confirm(key, session, now);
        return Lookup.KNOWN;
      }
    }
    if (others.isEmpty()) {
      return Lookup.KNOWN;
    }
    OwnerQuery query = queries.get(key);
    if (query == null) {
      query = new OwnerQuery(now.plus(settings.queryTimeout()), others);
      queries.put(key, query);
      others.forEach(owner -> send(owner, new SessionMessage.AskPins(key)));
    }
    query.requests.add(requestId);
    return Lookup.PENDING;
  }

  private void confirm(SessionKey key, PinnedSession session, Instant now) {
    session.confirmedAt = now;
    session.confirmedEpoch = ownersEpoch;
    storeAtOwners(key, session, now);
  }

  private void handleMessage(String node, SessionMessage message, Instant now, Output output) {
    if (message instanceof SessionMessage.StorePins stored) {
      store(node, stored.pins(), stored.follow(), now);
    } else if (message instanceof SessionMessage.AskPins question) {
      PinnedSession session = owned.getOrCreate(question.key(), now);
      session.addSubscriber(node);
      send(node, new SessionMessage.PinsAnswer(question.key(), session.pins()));
    } else if (message instanceof SessionMessage.PinsAnswer answer) {
      handleAnswer(node, answer, now, output);
    }
  }

  private void store(String writer, List<SessionPin> pins, boolean follow, Instant now) {
    Set<SessionKey> changed = new LinkedHashSet<>();
    for (SessionPin pin : pins) {
      PinnedSession session = owned.getOrCreate(pin.key(), now);
      if (session.merge(pin)) {
        changed.add(pin.key());
      } else if (!pin.equals(session.pin(pin.model()))) {
        sendPins(writer, pin.key(), session, now);
      }
      if (follow) {
        session.addSubscriber(writer);
      }
    }
    for (SessionKey key : changed) {
      PinnedSession session = owned.getOrCreate(key, now);
      for (String subscriber : session.subscribers) {
        if (!subscriber.equals(writer)) {
          sendPins(subscriber, key, session, now);
        }
      }
    }
  }

  private void sendPins(String node, SessionKey key, PinnedSession session, Instant now) {
    if (node.equals(self())) {
      PinnedSession cached = cache.getOrCreate(key, now);
      session.pins().forEach(cached::merge);
    } else {
      send(node, new SessionMessage.PinsAnswer(key, session.pins()));
    }
  }

  private void handleAnswer(
      String node, SessionMessage.PinsAnswer answer, Instant now, Output output) {
    PinnedSession session = cache.getOrCreate(answer.key(), now);
    answer.pins().forEach(session::merge);
    if (owners.of(answer.key()).contains(self())) {
      store(node, answer.pins(), false, now);
    }
    OwnerQuery query = queries.get(answer.key());
    if (query == null) {
      return;
    }
    query.waitingFor.remove(node);
    // One owner may have started a moment ago and know nothing, so its "none" doesn't settle it.
    if (query.waitingFor.isEmpty() || !answer.pins().isEmpty()) {
      query.answered = true;
      resolve(answer.key(), query, now, output);
    }
  }

  private void resolve(SessionKey key, OwnerQuery query, Instant now, Output output) {
    queries.remove(key);
    PinnedSession session = cache.getOrCreate(key, now);
    if (query.answered) {
      confirm(key, session, now);
    }
    query.requests.forEach(id -> output.raise(new SessionEvent.PinsResolved(id)));
  }

  private void expireQueries(Instant now, Output output) {
    Map<SessionKey, OwnerQuery> expired = new LinkedHashMap<>();
    queries.forEach(
        (key, query) -> {
          if (!now.isBefore(query.deadline)) {
            expired.put(key, query);
          }
        });
    expired.forEach(
        (key, query) -> {
          output.effect(new TraceEffect.Count("session_owners_silent", "", 1));
          resolve(key, query, now, output);
        });
  }

  private void membersChanged(MembershipEvent change) {
    SessionOwners now = new SessionOwners(members.live(), members.self().region());
    String restarted =
        change instanceof MembershipEvent.MemberJoined joined ? joined.member().name() : "";
    if (restarted.isEmpty() && now.hasSameCandidates(owners)) {
      return;
    }
    owners = now;
    ownersEpoch++;
    handover.ownersChanged(owners, restarted);
  }

  private void send(String node, SessionMessage message) {
    pendingEffects.add(new PeerEffect.SendToPeer(node, message));
  }

  private static final class OwnerQuery {
    private final Instant deadline;
    private final Set<String> waitingFor;
    private final Set<String> requests = new TreeSet<>();
    private boolean answered;

    private OwnerQuery(Instant deadline, List<String> question) {
      this.deadline = deadline;
      waitingFor = new TreeSet<>(question);
    }
  }
}
