package org.skylarkfork.runtime.settings;

/**
 * A size.
 *
 * @param bytes the number of bytes
 */
public record DataSize(long bytes) {}
