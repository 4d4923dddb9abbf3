package org.skylarkfork.standin.measure.daemon;

import java.util.List;
import org.skylarkfork.core.configuration.ModelVersion;

/**
 * An engine of a deployment.
 *
 * @param id name of the upstream
 * @param zone availability zone
 * @param capacity drafts that it runs at the same time
 * @param millisPerToken time for one token with an empty batch, in milliseconds
 * @param versions what is loaded
 */
record EngineSpec(
    String id, String zone, int capacity, double millisPerToken, List<ModelVersion> versions) {}
