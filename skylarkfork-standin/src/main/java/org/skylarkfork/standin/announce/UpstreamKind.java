package org.skylarkfork.standin.announce;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What an upstream serves. */
public enum UpstreamKind {
  /** Answers prompts by models. */
  @JsonProperty("engine")
  ENGINE,
  /** Answers plain HTTP calls. */
  @JsonProperty("service")
  SERVICE
}
