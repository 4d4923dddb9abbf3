package org.skylarkfork.core.configuration;

/**
 * An operator's key, stored only as its hash.
 *
 * @param id name by which operators refer to the key
 * @param sha256 SHA-256 of the key in lower-case hex
 */
public record OperatorKey(String id, String sha256) {}
