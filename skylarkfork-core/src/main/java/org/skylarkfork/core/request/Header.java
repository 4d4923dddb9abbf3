package org.skylarkfork.core.request;

/**
 * One HTTP header field.
 *
 * @param name name in lower case
 * @param value value without surrounding white space
 */
public record Header(String name, String value) {}
