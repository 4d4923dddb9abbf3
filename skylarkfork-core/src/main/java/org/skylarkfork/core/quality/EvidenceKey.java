package org.skylarkfork.core.quality;

import org.skylarkfork.core.configuration.ModelVersion;

/**
 * What evidence is counted by.
 *
 * @param version the version
 * @param size class of the prompt
 * @param escalated whether an earlier step of the plan had fallen short
 */
public record EvidenceKey(ModelVersion version, SizeClass size, boolean escalated) {}
