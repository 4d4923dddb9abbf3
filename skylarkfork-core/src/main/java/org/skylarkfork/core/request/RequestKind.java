package org.skylarkfork.core.request;

/** The protocol of a request. */
public enum RequestKind {
  /** A chat completion on a model engine. */
  CHAT,
  /** A plain completion on a model engine. */
  COMPLETION,
  /** A call to a plain service. */
  SERVICE;

  /** Returns whether requests of this kind are answered by a model engine. */
  public boolean isDraft() {
    return this != SERVICE;
  }
}
