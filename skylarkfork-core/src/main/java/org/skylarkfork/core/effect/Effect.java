package org.skylarkfork.core.effect;

/**
 * An output of the reducer, which the runtime carries out. Effects are carried out in the order in
 * which the reducer added them.
 */
public sealed interface Effect
    permits StorageEffect,
        PeerEffect,
        CallerEffect,
        UpstreamEffect,
        OperatorEffect,
        TraceEffect,
        LifecycleEffect,
        RelayEffect {}
