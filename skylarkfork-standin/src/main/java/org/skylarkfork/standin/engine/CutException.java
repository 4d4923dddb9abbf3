package org.skylarkfork.standin.engine;

/** Closes a connection in the middle of an answer. */
final class CutException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  CutException() {
    super("The stand-in cut the answer as its fault says.", null, false, false);
  }
}
