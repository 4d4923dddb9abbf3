package org.skylarkfork.standin.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.standin.announce.EngineRole;

/**
 * An order to an engine.
 *
 * @param orderId names the order over all its resends
 * @param fencingNumber rises with each holder of the right to give orders
 * @param kind what to do
 * @param model the model to load or unload; null for a role
 * @param version the version to load or unload; null for a role
 * @param adapter the adapter to load or unload; null for the version itself
 * @param role the new role; null otherwise
 */
record Order(
    String orderId,
    long fencingNumber,
    Kind kind,
    @Nullable String model,
    @Nullable String version,
    @Nullable String adapter,
    @Nullable EngineRole role) {

  Order {
    Objects.requireNonNull(orderId, "Give the order an orderId.");
    Objects.requireNonNull(kind, "Give the order a kind.");
  }

  /** What an order asks for. */
  enum Kind {
    @JsonProperty("load")
    LOAD,
    @JsonProperty("unload")
    UNLOAD,
    @JsonProperty("role")
    ROLE
  }

  /** Whether the order names all that its kind needs. */
  boolean complete() {
    return kind == Kind.ROLE ? role != null : model != null && version != null;
  }
}
