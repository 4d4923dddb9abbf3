package org.skylarkfork.core.relay;

/**
 * A model that the engines of a service have loaded, with its price.
 *
 * @param name name of the model
 * @param cost price of 1,000 generated tokens; a prompt token costs a quarter of a generated one
 */
public record ModelPrice(String name, double cost) {}
