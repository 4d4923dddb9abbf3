package org.skylarkfork.core.routing;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ModelVersion;

/**
 * The version of a model chosen for a request.
 *
 * @param version the version
 * @param pinned whether the request's session is already pinned to the version
 * @param notice notice for the caller, for example that its session was moved, or null
 */
public record VersionChoice(ModelVersion version, boolean pinned, @Nullable String notice) {}
