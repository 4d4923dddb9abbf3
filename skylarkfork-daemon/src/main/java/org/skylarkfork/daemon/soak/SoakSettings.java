package org.skylarkfork.daemon.soak;

import java.nio.file.Path;
import java.time.Duration;

/**
 * What a soak does.
 *
 * @param folder takes settings, data and logs
 * @param seed seed of all chance
 * @param duration time of load and faults
 * @param controls control VMs, an odd number
 * @param entries entries
 * @param upstreams upstreams of the one service
 * @param callers callers at a time
 * @param hasFaults whether processes, connections and upstreams are disturbed
 * @param answerFaults how upstreams fail requests and answer them twice
 */
public record SoakSettings(
    Path folder,
    long seed,
    Duration duration,
    int controls,
    int entries,
    int upstreams,
    int callers,
    boolean hasFaults,
    AnswerFaults answerFaults) {}
