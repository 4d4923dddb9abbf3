package org.skylarkfork.core.relay;

/**
 * A model that the engines of a service hold.
 *
 * @param name name of the model
 * @param cost price of 1,000 generated tokens; a prompt token counts as a quarter
 */
public record ModelPrice(String name, double cost) {}
