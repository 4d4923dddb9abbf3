package org.skylarkfork.core.routing;

import java.time.Instant;
import java.time.ZoneOffset;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.Rule;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.Header;

/** Checks the conditions of rules against requests. */
final class Conditions {

  private static final int MINUTES_PER_HOUR = 60;

  private Conditions() {}

  /** Returns whether a condition holds. */
  static boolean holds(Rule.Condition condition, CallerRequest request, String team, Instant now) {
    return mismatch(condition, request, team, now) == null;
  }

  /** Returns why a condition doesn't hold, or null if it holds. */
  static @Nullable String mismatch(
      Rule.Condition condition, CallerRequest request, String team, Instant now) {
    if (!condition.teams().isEmpty() && !condition.teams().contains(team)) {
      return "the team is not in its list";
    }
    if (!condition.models().isEmpty() && !condition.models().contains(request.model())) {
      return "the model is not in its list";
    }
    if (!condition.services().isEmpty() && !condition.services().contains(request.service())) {
      return "the service is not in its list";
    }
    if (!hasHeaders(condition, request)) {
      return "a header is missing or has another value";
    }
    if (condition.minPromptTokens() != null
        && request.promptTokens() < condition.minPromptTokens()) {
      return "the prompt is too short";
    }
    if (condition.maxPromptTokens() != null
        && request.promptTokens() > condition.maxPromptTokens()) {
      return "the prompt is too long";
    }
    if (condition.maxPriority() != null && request.priority() > condition.maxPriority()) {
      return "the request is less urgent";
    }
    if (condition.inSession() != null && condition.inSession() != (request.session() != null)) {
      return condition.inSession() ? "there is no session" : "there is a session";
    }
    return matchesTimeOfDay(condition, now) ? null : "it is another time of day";
  }

  private static boolean hasHeaders(Rule.Condition condition, CallerRequest request) {
    for (Header required : condition.headers()) {
      if (!hasHeader(request, required)) {
        return false;
      }
    }
    return true;
  }

  private static boolean hasHeader(CallerRequest request, Header required) {
    for (Header header : request.headers()) {
      if (header.name().equalsIgnoreCase(required.name())
          && header.value().equals(required.value())) {
        return true;
      }
    }
    return false;
  }

  private static boolean matchesTimeOfDay(Rule.Condition condition, Instant now) {
    Integer from = condition.fromMinute();
    Integer to = condition.toMinute();
    if (from == null && to == null) {
      return true;
    }
    int minute = minuteOfDay(now);
    if (from == null) {
      return minute < to;
    }
    if (to == null) {
      return minute >= from;
    }
    if (from <= to) {
      return minute >= from && minute < to;
    }
    return minute >= from || minute < to;
  }

  private static int minuteOfDay(Instant now) {
    var time = now.atOffset(ZoneOffset.UTC);
    return time.getHour() * MINUTES_PER_HOUR + time.getMinute();
  }
}
