package org.skylarkfork.core.relay;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.routing.StableHash;

/** Decides which versions of a service may get a request while a roll-out is on or after it. */
final class VersionSelector {

  private static final int BUCKETS = 10_000;

  private final RelayView view;
  private final double canaryShare;

  VersionSelector(RelayView view, double canaryShare) {
    this.view = view;
    this.canaryShare = canaryShare;
  }

  /** Tells the allowed versions from the others. */
  interface VersionFilter {

    /** Returns whether a version may get the request. */
    boolean allows(String version);
  }

  /**
   * Returns the versions for a request.
   *
   * @param service service that it goes to
   * @param request the request
   */
  VersionFilter filterFor(String service, RelayRequest request) {
    ServiceRollOut rollOut = rollOut(service);
    if (rollOut == null) {
      String usual = view.stableVersion(service);
      return version -> usual == null || version.equals(usual);
    }
    String target = rollOut.target();
    return switch (rollOut.phase()) {
      case CANARY -> canary(request) ? target::equals : version -> !version.equals(target);
      case MOVING, SUCCEEDED -> target::equals;
      case ROLLED_BACK -> version -> !version.equals(target);
    };
  }

  private @Nullable ServiceRollOut rollOut(String service) {
    for (ServiceRollOut rollOut : view.rollOuts()) {
      if (rollOut.service().equals(service)) {
        return rollOut;
      }
    }
    return null;
  }

  /**
   * Returns whether a request tries the new version.
   *
   * <p>A session that moves to the new version and back would change its version under way, so only
   * requests without a session try it.
   */
  private boolean canary(RelayRequest request) {
    if (request.session() != null) {
      return false;
    }
    return Math.floorMod(StableHash.of(request.id()), BUCKETS) < canaryShare * BUCKETS;
  }
}
