package org.skylarkfork.runtime.http;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * Answer of {@code GET /v1/models} in the completion protocol.
 *
 * @param object always {@code list}
 * @param data the models
 */
public record ModelList(String object, List<Item> data) {

  /** Copies the models. */
  public ModelList {
    data = List.copyOf(data);
  }

  /** Returns a list of these models. */
  public static ModelList of(List<Item> data) {
    return new ModelList("list", data);
  }

  /**
   * One model.
   *
   * @param id name of the model
   * @param object always {@code model}
   * @param ownedBy always {@code skylarkfork}
   * @param versions versions that the team may use
   */
  public record Item(
      String id, String object, @JsonProperty("owned_by") String ownedBy, List<String> versions) {

    /** Copies the versions. */
    public Item {
      versions = List.copyOf(versions);
    }

    /** Returns an item for a model. */
    public static Item of(String id, List<String> versions) {
      return new Item(id, "model", "skylarkfork", versions);
    }
  }
}
