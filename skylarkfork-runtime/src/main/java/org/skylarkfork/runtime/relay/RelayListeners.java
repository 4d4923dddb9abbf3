package org.skylarkfork.runtime.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import org.skylarkfork.runtime.startup.EarlyListeners;

/** Opens the listeners of a relay daemon that others need as soon as its process runs. */
public final class RelayListeners {

  private RelayListeners() {}

  /**
   * Opens the listeners for peers, for callers and for look-ups at entries; none if the settings
   * switch early listeners off.
   *
   * <p>The listeners for operators and upstreams aren't among them: their clients try another
   * control VM at once if the connection is refused, which serves them sooner. Neither is the
   * readiness check, which must fail until the daemon is started.
   *
   * @param settings the daemon's settings
   * @throws IOException if an address can't be used; no listener is then open
   */
  public static EarlyListeners open(RelaySettings settings) throws IOException {
    EarlyListeners listeners = new EarlyListeners();
    open(settings, listeners);
    return listeners;
  }

  /**
   * Opens the listeners in an instance that the caller can close meanwhile, which ends the wait for
   * an address that is in use.
   *
   * @param settings the daemon's settings
   * @param listeners takes the listeners
   * @throws IOException if an address can't be used, or the instance is closed while it waits; no
   *     listener is then open
   */
  public static void open(RelaySettings settings, EarlyListeners listeners) throws IOException {
    if (settings.overload().earlyListeners()) {
      listeners.open(backlogs(settings));
    }
  }

  private static Map<InetSocketAddress, Integer> backlogs(RelaySettings settings) {
    Map<InetSocketAddress, Integer> backlogs = new LinkedHashMap<>();
    InetSocketAddress caller = settings.caller();
    if (caller != null) {
      backlogs.put(caller, RelayCallerServer.BACKLOG);
    }
    backlogs.put(settings.peer(), 0);
    InetSocketAddress lists = settings.lists();
    if (caller != null && lists != null && settings.dataFolder() == null) {
      backlogs.put(lists, 0);
    }
    return backlogs;
  }
}
