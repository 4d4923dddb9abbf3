package org.skylarkfork.standin.announce;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Which part of the work an engine takes. */
public enum EngineRole {
  /** Reads prompts and writes answers. */
  @JsonProperty("mixed")
  MIXED,
  /** Reads prompts and exports their KV cache. */
  @JsonProperty("prefill")
  PREFILL,
  /** Imports KV caches and writes answers. */
  @JsonProperty("decode")
  DECODE
}
