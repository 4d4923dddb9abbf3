package org.skylarkfork.core.relay;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.rollout.ServiceRollOut;
import org.skylarkfork.core.routing.StableHash;

/** Selects the versions of a service that may receive a request, during and after a roll-out. */
final class VersionSelector {

  private final RelayView view;
  private final double canaryShare;

  VersionSelector(RelayView view, double canaryShare) {
    this.view = view;
    this.canaryShare = canaryShare;
  }

  /** Tests whether a version is allowed. */
  interface VersionFilter {

    /** Returns whether a version may receive the request. */
    boolean allows(String version);
  }

  /**
   * Returns the filter of versions for a request.
   *
   * @param service the service of the request
   * @param request the request
   */
  VersionFilter filterFor(String service, RelayRequest request) {
    ServiceRollOut rollOut = rollOut(service);
    if (rollOut == null) {
      String stable = view.stableVersion(service);
      return version -> stable == null || version.equals(stable);
    }
    String target = rollOut.target();
    return switch (rollOut.phase()) {
      case CANARY -> isCanary(request, rollOut) ? target::equals : rollOut::isOldVersion;
      case MOVING, SUCCEEDED -> target::equals;
      case ROLLED_BACK -> rollOut::isOldVersion;
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
   * Returns whether a request goes to the new version in the canary phase.
   *
   * <p>A session that moved to the new version and back would change its version midway. So which
   * sessions go to it depends on the session alone, and their share only grows.
   */
  private boolean isCanary(RelayRequest request, ServiceRollOut rollOut) {
    String session = request.session();
    if (session != null) {
      return part(rollOut.target(), session) < rollOut.sessionShare();
    }
    double canaryParts = canaryShare * ServiceRollOut.SESSION_PARTS;
    return part(request.id()) < Math.max(canaryParts, rollOut.sessionShare());
  }

  private static int part(String... texts) {
    return Math.floorMod(StableHash.of(texts), ServiceRollOut.SESSION_PARTS);
  }
}
