package org.skylarkfork.core.routing;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ModelVersion;

/**
 * The version of a model that a request gets.
 *
 * @param version the version
 * @param pinned whether the request's session keeps it already
 * @param notice what the caller should know, such as that its session had to move, or null
 */
public record VersionChoice(ModelVersion version, boolean pinned, @Nullable String notice) {}
