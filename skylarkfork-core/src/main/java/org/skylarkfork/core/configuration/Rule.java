package org.skylarkfork.core.configuration;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.request.Header;

/**
 * One when-then rule; the first whose condition holds decides.
 *
 * @param name name, unique among the rules
 * @param when the condition
 * @param then what is decided
 */
public record Rule(String name, Condition when, Decision then) {

  /**
   * A condition; each list that is empty and each bound that is null holds for every request.
   *
   * @param teams names of teams
   * @param models model names as the caller asked for them
   * @param services names of plain services
   * @param headers headers that must all be there with these values
   * @param minPromptTokens least length of the prompt
   * @param maxPromptTokens greatest length of the prompt
   * @param maxPriority least urgent priority that it holds for
   * @param inSession whether the request must or must not belong to a session
   * @param fromMinute first minute of the day in UTC, from 0
   * @param toMinute minute of the day in UTC at which it no longer holds; may be below {@code
   *     fromMinute} to span midnight
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

    /** Holds for every request. */
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

  /** What a rule decides. */
  public sealed interface Decision {

    /**
     * The request may run on these models.
     *
     * @param models names of models from which the plan is made; the team's allowed list narrows it
     * @param plan how the model is chosen
     * @param qualityTarget least wanted chance of a good answer, 0 to 1; a caller may ask for more
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
     * @param reason what the caller is told
     */
    record Refuse(String reason) implements Decision {}
  }

  /** How a route's model is chosen. */
  public enum PlanKind {
    /** The least expected cost that meets the target, cascades included. */
    CHEAPEST,
    /** The first model of the list that can take the request. */
    DIRECT,
    /** The models in the order of the list, each tried if the rating of the one before is short. */
    CASCADE
  }
}
