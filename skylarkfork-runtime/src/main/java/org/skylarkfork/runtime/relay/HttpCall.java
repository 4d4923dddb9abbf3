package org.skylarkfork.runtime.relay;

import java.util.List;
import java.util.Map;

/**
 * A complete HTTP request to a control VM.
 *
 * @param method method in upper case
 * @param path path without its query
 * @param query decoded parameters of the query
 * @param body the body
 * @param requester IP address that identifies the sender; empty if it doesn't
 */
public record HttpCall(
    String method, String path, Map<String, List<String>> query, byte[] body, String requester) {

  /** Returns the first value of a parameter of the query, or an empty text if it is missing. */
  public String parameter(String name) {
    List<String> values = query.get(name);
    return values == null || values.isEmpty() ? "" : values.get(0);
  }
}
