package org.skylarkfork.daemon.proof;

/** What must hold whatever fails. */
public enum Promise {
  /** Drafts run on versions that their team allows. */
  ALLOWED("drafts run only on allowed versions"),
  /** A withdrawn version gets no new work. */
  WITHDRAWN("a withdrawn version gets no new work"),
  /** A session keeps its version. */
  SESSION("a session keeps its version"),
  /** Each request is billed once. */
  BILLED_ONCE("each request is billed once"),
  /** A caller gets its own whole answer or an explicit error. */
  OWN_WHOLE("callers get their own whole answer or an explicit error"),
  /** A refusal that says "not run" is true. */
  NOT_RUN("a refusal that says not run is true"),
  /** A non-idempotent request runs at most once. */
  AT_MOST_ONCE("a non-idempotent request runs at most once"),
  /** A leaving or drained upstream gets no new work. */
  LEAVING("a leaving or drained upstream gets no new work"),
  /** A planned stop cuts off no request. */
  PLANNED_STOP("a planned stop cuts off no request"),
  /** Accepted changes are in force everywhere and stay. */
  IN_FORCE("an accepted configuration is in force and never reverts"),
  /** Of changes that expect the same revision one is accepted, and a resend changes nothing. */
  RACES("of equal expected revisions one wins, and resends get the first answer"),
  /** No invariant breaks and the system serves again after each fault. */
  RECOVERY("no invariant breaks and each fault is recovered from");

  private final String sentence;

  Promise(String sentence) {
    this.sentence = sentence;
  }

  /** Returns the promise in words. */
  public String sentence() {
    return sentence;
  }
}
