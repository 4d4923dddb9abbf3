package org.skylarkfork.runtime.relay;

import java.io.IOException;

/** Parses the settings file of a relay daemon. */
public interface SettingsParser {

  /**
   * Parses a text.
   *
   * @param text content of the file
   * @throws IOException if the text is malformed or lacks a value
   * @throws RuntimeException if a value can't be used
   */
  RelaySettings parse(String text) throws IOException;
}
