package org.skylarkfork.core.relay;

import org.jspecify.annotations.Nullable;

/**
 * An upstream as the control VMs tell entries of it.
 *
 * @param instance the upstream
 * @param condition what is believed of it
 * @param named what it said of its rate limit, or null if it never named one
 */
public record UpstreamStatus(
    UpstreamInstance instance, UpstreamCondition condition, @Nullable ReportedLimit named) {

  /** Makes the status of an upstream that never named a rate limit. */
  public UpstreamStatus(UpstreamInstance instance, UpstreamCondition condition) {
    this(instance, condition, null);
  }
}
