package org.skylarkfork.standin.engine;

import java.time.Duration;
import org.skylarkfork.standin.settings.ZeroIfAbsent;

/**
 * How late and how incompletely an engine reports.
 *
 * @param loadLag the least age of a load report; none if absent
 * @param cacheEventLoss the share of cache events that are lost, from 0 to 1
 */
public record EngineReports(Duration loadLag, @ZeroIfAbsent double cacheEventLoss) {

  /** Reports at once and loses nothing. */
  public static final EngineReports DEFAULT = new EngineReports(Duration.ZERO, 0);

  /** Puts defaults in place of absent values. */
  public EngineReports {
    loadLag = loadLag == null ? Duration.ZERO : loadLag;
  }
}
