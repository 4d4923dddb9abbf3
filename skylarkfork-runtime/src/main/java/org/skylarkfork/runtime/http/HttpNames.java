package org.skylarkfork.runtime.http;

/** Names of the HTTP headers that skylarkfork reads and writes. */
public final class HttpNames {

  /** Id of the request; echoed by upstreams. */
  public static final String REQUEST_ID = "X-Request-Id";

  /** Caller's key for resends. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** Caller's session. */
  public static final String SESSION = "Skylarkfork-Session";

  /** Signed pin of a session, sent back by the caller. */
  public static final String SESSION_TOKEN = "Skylarkfork-Session-Token";

  /** Name of the team that holds the caller's key, told to upstreams of the relay. */
  public static final String TEAM = "Skylarkfork-Team";

  /** Tokens of the prompt and most tokens of the answer, with a comma between. */
  public static final String TOKENS = "Skylarkfork-Tokens";

  /** Shared parts of the prompt in order, as {@code id:tokens} with commas between. */
  public static final String PROMPT_PARTS = "Skylarkfork-Prompt-Parts";

  /** A model's opinion of its answer, from 0 to 100. */
  public static final String CONFIDENCE = "Skylarkfork-Confidence";

  /** Milliseconds from the arrival after which the caller gives up. */
  public static final String DEADLINE_MILLIS = "Skylarkfork-Deadline-Millis";

  /** Least wanted chance of a good answer, 0 to 1. */
  public static final String QUALITY_TARGET = "Skylarkfork-Quality-Target";

  /** Priority, 0 (most urgent) to 9. */
  public static final String PRIORITY = "Skylarkfork-Priority";

  /** Model that answered. */
  public static final String MODEL = "Skylarkfork-Model";

  /** Version that answered. */
  public static final String VERSION = "Skylarkfork-Version";

  /** Upstream that answered. */
  public static final String UPSTREAM = "Skylarkfork-Upstream";

  /** Number of attempts dispatched. */
  public static final String ATTEMPTS = "Skylarkfork-Attempts";

  /** Cost in millionths of the currency unit. */
  public static final String COST_MICROS = "Skylarkfork-Cost-Micros";

  /** Whether a refused request ran: {@code not-run}, {@code ran} or {@code unknown}. */
  public static final String RUN_STATE = "Skylarkfork-Run-State";

  /** Something that the caller should know. */
  public static final String NOTICE = "Skylarkfork-Notice";

  /** Priority towards engines, 0 to 9. */
  public static final String ENGINE_PRIORITY = "X-Priority";

  /** Tokens of the answer that are already there. */
  public static final String RESUME_OFFSET = "X-Resume-Offset";

  /** Set by an upstream on a refusal of a request that it did not start. */
  public static final String NOT_STARTED = "X-Not-Started";

  /** Requests a second that an upstream takes from all entries together, as it says. */
  public static final String RATE_LIMIT = "X-Rate-Limit";

  /** Set to {@code 1} by an upstream in each answer while it is leaving. */
  public static final String LEAVING = "X-Leaving";

  /** Rejections in a second above which an upstream falls over, set in each of its answers. */
  public static final String REJECTION_LIMIT = "X-Rejection-Limit";

  /** Operator's id of a change; a resend with the same id gets the first answer. */
  public static final String CHANGE_ID = "Skylarkfork-Change-Id";

  /** Milliseconds after which it is worth asking again. */
  public static final String RETRY_AFTER_MILLIS = "Retry-After-Ms";

  private HttpNames() {}
}
