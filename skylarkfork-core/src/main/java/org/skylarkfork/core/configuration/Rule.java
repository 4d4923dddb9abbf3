package org.skylarkfork.core.configuration;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.request.Header;

/**
 * A routing rule; the first rule whose condition holds decides.
 *
 * @param name name, unique among the rules
 * @param when the condition
 * @param then the decision
 */
public record Rule(String name, Condition when, Decision then) {

  /**
   * The condition of a rule; an empty list or a null limit matches every request.
   *
   * @param teams names of teams
   * @param models model names as given in the caller's request
   * @param services names of plain services
   * @param headers headers that must all be present with these values
   * @param minPromptTokens minimum length of the prompt in tokens
   * @param maxPromptTokens maximum length of the prompt in tokens
   * @param maxPriority highest priority value that matches; 0 is the most urgent
   * @param inSession whether the request must or must not belong to a session
   * @param fromMinute first minute of the day in UTC, from 0
   * @param toMinute minute of the day in UTC from which the condition no longer holds; may be below
   *     {@code fromMinute} to span midnight
   */
  public record Condition(
      List<String> teams,
      List<String> models,
      List<String> services,
      List<Header> headers,
      @Nullable Integer minPromptTokens,
      @Nullable Integer maxPromptTokens,
      @Nullable Integer maxPriority,
      @Nullable Boolean inSession,
      @Nullable Integer fromMinute,
      @Nullable Integer toMinute) {

    /** A condition that matches every request. */
    public static final Condition ALWAYS =
        new Condition(
            List.of(), List.of(), List.of(), List.of(), null, null, null, null, null, null);

    /** Copies the lists. */
    public Condition {
      teams = List.copyOf(teams);
      models = List.copyOf(models);
      services = List.copyOf(services);
      headers = List.copyOf(headers);
    }
  }

  /** The decision of a rule. */
  public sealed interface Decision {

    /**
     * The request may run on these models.
     *
     * @param models names of the candidate models, limited to those that the team may use
     * @param plan how a model is chosen among the candidates
     * @param qualityTarget minimum probability of a good answer, 0 to 1; a caller may request a
     *     higher one
     * @param priority priority to use in place of the caller's, or null to keep it
     */
    record Route(
        List<String> models, PlanKind plan, double qualityTarget, @Nullable Integer priority)
        implements Decision {

      /** Copies the models. */
      public Route {
        models = List.copyOf(models);
      }
    }

    /** The request goes to the plain service that it names. */
    record ToService() implements Decision {}

    /**
     * The request is refused.
     *
     * @param reason explanation sent to the caller
     */
    record Refuse(String reason) implements Decision {}
  }

  /** How a route's model is chosen. */
  public enum PlanKind {
    /** The plan with the least expected cost that meets the quality target, cascades included. */
    CHEAPEST,
    /** The first model of the list that can serve the request. */
    DIRECT,
    /**
     * The models in the order of the list, each used if the rating of the previous model's answer
     * is too low.
     */
    CASCADE
  }
}
