package org.skylarkfork.runtime.relay;

/**
 * A complete HTTP answer of a control VM.
 *
 * @param status status code
 * @param contentType media type of the body
 * @param body the body
 */
public record HttpReply(int status, String contentType, byte[] body) {}
