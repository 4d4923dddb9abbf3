package org.skylarkfork.runtime.trace;

import org.jspecify.annotations.Nullable;

/**
 * Which lines of a time line are wanted; null wants all.
 *
 * @param requestId request
 * @param session session
 * @param version model and version, such as {@code ruling-large:2}
 * @param upstream id of the upstream
 * @param node name of the daemon
 * @param what name of the happening, or its beginning up to a dot, such as {@code request}
 */
public record TimelineFilter(
    @Nullable String requestId,
    @Nullable String session,
    @Nullable String version,
    @Nullable String upstream,
    @Nullable String node,
    @Nullable String what) {

  /** Wants all lines. */
  public static final TimelineFilter ALL = new TimelineFilter(null, null, null, null, null, null);

  /** Returns whether a line is wanted. */
  public boolean wants(TimelineRecord line) {
    return same(requestId, line.requestId())
        && same(session, line.session())
        && same(version, line.version())
        && same(upstream, line.upstream())
        && same(node, line.node())
        && (what == null || line.what().equals(what) || line.what().startsWith(what + "."));
  }

  private static boolean same(@Nullable String wanted, @Nullable String found) {
    return wanted == null || wanted.equals(found);
  }
}
