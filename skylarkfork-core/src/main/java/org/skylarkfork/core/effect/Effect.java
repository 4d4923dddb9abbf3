package org.skylarkfork.core.effect;

/** Something that the runtime is to do, in the order in which the reducer asked for it. */
public sealed interface Effect
    permits StorageEffect,
        PeerEffect,
        CallerEffect,
        UpstreamEffect,
        OperatorEffect,
        TraceEffect,
        LifecycleEffect,
        RelayEffect {}
