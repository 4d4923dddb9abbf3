package org.skylarkfork.standin.engine;

/** Ends an answer whose request was cancelled. */
final class CancelledException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  CancelledException(String requestId) {
    super("Request " + requestId + " was cancelled; send it again if it is still wanted.");
  }
}
