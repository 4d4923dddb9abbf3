package org.skylarkfork.core.quality;

import org.skylarkfork.core.configuration.ModelVersion;

/**
 * The key by which evidence is counted.
 *
 * @param version the version
 * @param size class of the prompt
 * @param escalated whether an earlier step of the plan missed its quality target
 */
public record EvidenceKey(ModelVersion version, SizeClass size, boolean escalated) {}
