package org.skylarkfork.runtime.settings;

/**
 * A value that fits the schema but can't work.
 *
 * @param pointer JSON pointer of the value, such as {@code /seeds/0/host}
 * @param sentence what is wrong and the remedy
 */
public record SettingsProblem(String pointer, String sentence) {}
