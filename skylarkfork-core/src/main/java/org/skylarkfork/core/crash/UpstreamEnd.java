package org.skylarkfork.core.crash;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The end of one run of an upstream, with the requests that were lost in it. */
final class UpstreamEnd {

  private static final int MAX_LOST = 512;

  private final Map<RequestKey, Lost> lost = new LinkedHashMap<>();
  private final String service;
  private final Instant reportedAt;
  private Instant at;
  private boolean explained;

  UpstreamEnd(String service, Instant at, Instant reportedAt) {
    this.service = service;
    this.at = at;
    this.reportedAt = reportedAt;
  }

  /**
   * A request that was lost.
   *
   * @param sentAt when its last attempt was sent
   * @param parts hashes of the parts of its prompt
   */
  record Lost(Instant sentAt, List<Long> parts) {}

  /** Adds a lost request; a repeated report changes nothing. */
  void add(RequestKey content, List<Long> parts, Instant sentAt, Instant lostAt) {
    at = lostAt.isBefore(at) ? lostAt : at;
    if (lost.size() < MAX_LOST) {
      lost.merge(content, new Lost(sentAt, parts), UpstreamEnd::later);
    }
  }

  private static Lost later(Lost one, Lost other) {
    return one.sentAt.isAfter(other.sentAt) ? one : other;
  }

  /** Removes a request by its content; returns whether it was there. */
  boolean remove(RequestKey content) {
    return lost.remove(content) != null;
  }

  /** Returns the lost requests by their contents. */
  Map<RequestKey, Lost> lost() {
    return lost;
  }

  /** Returns the service of the upstream; empty if unknown. */
  String service() {
    return service;
  }

  /** Returns when the first of the requests was lost. */
  Instant at() {
    return at;
  }

  /** Returns when the end was first reported. */
  Instant reportedAt() {
    return reportedAt;
  }

  /** Returns whether a quarantined request or part was lost in this end. */
  boolean isExplained() {
    return explained;
  }

  /** Marks this end as explained if a request with a key was lost in it. */
  void markExplained(RequestKey key) {
    explained = explained || contains(key);
  }

  private boolean contains(RequestKey key) {
    return lost.containsKey(key)
        || lost.entrySet().stream().anyMatch(each -> hasPart(each.getKey(), each.getValue(), key));
  }

  private static boolean hasPart(RequestKey content, Lost request, RequestKey key) {
    return request.parts.stream().anyMatch(part -> key.isOfPart(content.team(), part));
  }
}
