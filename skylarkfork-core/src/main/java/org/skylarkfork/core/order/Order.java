package org.skylarkfork.core.order;

import org.skylarkfork.core.configuration.ModelVersion;

/**
 * What one engine is to do.
 *
 * @param orderId id of the order, never used for another one
 * @param kind what to do
 * @param upstream id of the engine
 * @param version model and version; for a change of role those that it runs
 * @param argument adapter or role, or empty
 */
public record Order(
    String orderId, OrderKind kind, String upstream, ModelVersion version, String argument) {}
