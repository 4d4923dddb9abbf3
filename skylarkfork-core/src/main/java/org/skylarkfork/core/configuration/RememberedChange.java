package org.skylarkfork.core.configuration;

import java.time.Instant;
import org.skylarkfork.core.command.ConfigurationResult;

/**
 * The stored first answer to a change id.
 *
 * @param changeId the operator's id for the change
 * @param operator id of the operator's key, or the name of the part that proposed the change
 * @param bodyHash hash of the change and the expected revision
 * @param at when the change was answered, by the leader's clock
 * @param answer the answer
 */
public record RememberedChange(
    String changeId, String operator, String bodyHash, Instant at, ConfigurationResult answer) {}
