package org.skylarkfork.core.admission;

import org.skylarkfork.core.request.CallerRequest;

/**
 * A class of requests that compete for the same upstreams and never wait behind another lane.
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
