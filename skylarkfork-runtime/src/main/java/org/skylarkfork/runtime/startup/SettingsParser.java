package org.skylarkfork.runtime.startup;

import java.io.IOException;

/**
 * Parses a settings file.
 *
 * @param <T> the settings
 */
public interface SettingsParser<T> {

  /**
   * Parses a text.
   *
   * @param text content of the file
   * @throws IOException if the text is malformed or lacks a value
   * @throws RuntimeException if a value can't be used
   */
  T parse(String text) throws IOException;
}
