package org.skylarkfork.standin.fault;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The ways in which a stand-in can be told to fail. */
public enum FaultKind {
  /** Answers carry wrong words. */
  @JsonProperty("bad-answers")
  BAD_ANSWERS,
  /** Calls are taken and never answered, running streams stand still and the heartbeat stops. */
  @JsonProperty("silence")
  SILENCE,
  /** The connection closes in the middle of an answer. */
  @JsonProperty("cut-stream")
  CUT_STREAM,
  /** Answers have neither a length nor chunks and end with their connection (services only). */
  @JsonProperty("unframed-answers")
  UNFRAMED_ANSWERS,
  /** Answers begin late. */
  @JsonProperty("late-answers")
  LATE_ANSWERS,
  /** Answers carry the id and the text of another request. */
  @JsonProperty("crossed-answers")
  CROSSED_ANSWERS,
  /** Requests that ran are answered twice on their connection. */
  @JsonProperty("second-answers")
  SECOND_ANSWERS,
  /** Calls are refused as if the queue were full. */
  @JsonProperty("full")
  FULL,
  /** Each step of the work takes longer. */
  @JsonProperty("slow")
  SLOW,
  /** The upstream announces that it is leaving and refuses new work. */
  @JsonProperty("leaving")
  LEAVING,
  /** Ends all faults. */
  @JsonProperty("none")
  NONE
}
