package org.skylarkfork.core.admission;

import org.skylarkfork.core.request.CallerRequest;

/**
 * Requests that compete for the same upstreams; those of one lane never wait behind another's.
 *
 * @param service name of the plain service, or empty for drafts
 */
public record Lane(String service) {

  /** The lane of all drafts. */
  public static final Lane DRAFTS = new Lane("");

  /** Returns the lane of a request. */
  public static Lane of(CallerRequest request) {
    return request.kind().isDraft() ? DRAFTS : new Lane(request.service());
  }

  @Override
  public String toString() {
    return service.isEmpty() ? "drafts" : service;
  }
}
