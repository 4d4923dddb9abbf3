package org.skylarkfork.core.configuration;

import java.util.List;

/** Thrown when a change can't be applied to a configuration; holds the reason. */
final class InapplicableChangeException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient List<ConfigurationProblem> problems;

  InapplicableChangeException(ConfigurationProblem.Kind kind, String subject, String message) {
    super(message);
    problems = List.of(new ConfigurationProblem(kind, subject, message));
  }

  List<ConfigurationProblem> problems() {
    return problems;
  }
}
