package org.skylarkfork.core.request;

/** Which protocol a request speaks. */
public enum RequestKind {
  /** A chat completion on a model engine. */
  CHAT,
  /** A plain completion on a model engine. */
  COMPLETION,
  /** A call to a plain service. */
  SERVICE;

  /** Returns whether a model engine answers it. */
  public boolean isDraft() {
    return this != SERVICE;
  }
}
