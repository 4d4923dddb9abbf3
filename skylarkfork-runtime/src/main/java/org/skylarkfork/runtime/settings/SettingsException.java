package org.skylarkfork.runtime.settings;

import java.util.List;

/** Settings that can't be used; each problem names the line and the remedy. */
public final class SettingsException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final List<String> problems;

  /**
   * Makes an exception.
   *
   * @param problems one sentence a problem, in the order of lines
   */
  public SettingsException(List<String> problems) {
    super(String.join(System.lineSeparator(), problems));
    this.problems = List.copyOf(problems);
  }

  /** Returns the problems. */
  public List<String> problems() {
    return problems;
  }
}
