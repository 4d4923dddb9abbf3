package org.skylarkfork.core.order;

import org.skylarkfork.core.configuration.ModelVersion;

/**
 * An order to one engine.
 *
 * @param orderId id of the order, never reused for another order
 * @param kind kind of the order
 * @param upstream id of the engine
 * @param version model and version; for a change of role the model and version that the engine runs
 * @param argument name of the adapter or role, or empty
 */
public record Order(
    String orderId, OrderKind kind, String upstream, ModelVersion version, String argument) {}
