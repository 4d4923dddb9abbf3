package org.skylarkfork.standin.engine;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.skylarkfork.standin.announce.EngineRole;
import org.skylarkfork.standin.announce.LoadedModel;
import org.skylarkfork.standin.fault.Fault;

/**
 * What an engine shows of itself to operators and tests.
 *
 * @param id the name of the upstream
 * @param running the requests in the batch
 * @param queued the requests that wait
 * @param started the requests taken
 * @param finished the answers made to their end
 * @param cancelled the requests ended early
 * @param refused the requests of which nothing was started
 * @param resumed the requests that began after their first token
 * @param tokens the tokens made
 * @param orders the orders carried out
 * @param doubles the number of starts of each request that was started more than once
 * @param cachedPrefixes the prefixes in the cache, least recently used first
 * @param models the loaded versions
 * @param role the present role
 * @param faults the faults in force
 */
public record EngineState(
    String id,
    int running,
    int queued,
    long started,
    long finished,
    long cancelled,
    long refused,
    long resumed,
    long tokens,
    long orders,
    Map<String, Integer> doubles,
    int cachedPrefixes,
    List<LoadedModel> models,
    EngineRole role,
    Collection<Fault> faults) {}
