package org.skylarkfork.standin.engine;

/** Says that a version could not be loaded. */
final class LoadFailedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  LoadFailedException(String message) {
    super(message);
  }
}
