package org.skylarkfork.core.relay;

import org.jspecify.annotations.Nullable;

/**
 * Status of an upstream as sent by control VMs to entries.
 *
 * @param instance the upstream
 * @param condition its condition as seen by the control VM
 * @param named the rate limit that it reported last, or null if it never reported one
 */
public record UpstreamStatus(
    UpstreamInstance instance, UpstreamCondition condition, @Nullable ReportedLimit named) {

  /** Creates the status of an upstream that never reported a rate limit. */
  public UpstreamStatus(UpstreamInstance instance, UpstreamCondition condition) {
    this(instance, condition, null);
  }
}
