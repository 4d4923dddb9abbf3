package org.skylarkfork.core.relay;

/**
 * An upstream as the control VMs tell entries of it.
 *
 * @param instance the upstream
 * @param condition what is believed of it
 */
public record UpstreamStatus(UpstreamInstance instance, UpstreamCondition condition) {}
