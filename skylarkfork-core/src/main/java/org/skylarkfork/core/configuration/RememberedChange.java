package org.skylarkfork.core.configuration;

import java.time.Instant;
import org.skylarkfork.core.command.ConfigurationResult;

/**
 * The first answer to a change id.
 *
 * @param changeId the operator's id for the change
 * @param operator who sent it
 * @param bodyHash hash of what was sent
 * @param at when it was answered, by the leader's time
 * @param answer the answer
 */
public record RememberedChange(
    String changeId, String operator, String bodyHash, Instant at, ConfigurationResult answer) {}
