package org.skylarkfork.standin.load;

/** What a request of the stand-in caller is. */
public enum LoadKind {
  /** A streamed draft. */
  DRAFT,
  /** An idempotent lookup. */
  LOOKUP,
  /** A non-idempotent call. */
  ISSUE
}
