package org.skylarkfork.core.request;

/**
 * One header line.
 *
 * @param name in lower case
 * @param value without surrounding white space
 */
public record Header(String name, String value) {}
