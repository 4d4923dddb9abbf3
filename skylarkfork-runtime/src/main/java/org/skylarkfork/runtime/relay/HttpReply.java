package org.skylarkfork.runtime.relay;

/**
 * A whole HTTP answer of a control VM.
 *
 * @param status status code
 * @param contentType type of the body
 * @param body the body
 */
public record HttpReply(int status, String contentType, byte[] body) {}
