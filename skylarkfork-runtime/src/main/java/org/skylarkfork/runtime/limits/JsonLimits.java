package org.skylarkfork.runtime.limits;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;

/**
 * Limits on documents that clients send. An empty object of three bytes becomes a hundred bytes of
 * objects, so that the size of a document says little of the heap that it takes.
 */
public final class JsonLimits {

  private JsonLimits() {}

  /** Returns a new factory whose parsers read as many values as the process's heap can hold. */
  public static JsonFactory factory() {
    return JsonFactory.builder()
        .streamReadConstraints(
            StreamReadConstraints.builder()
                .maxTokenCount(MemoryBudget.ofProcess().documentTokens())
                .build())
        .build();
  }
}
