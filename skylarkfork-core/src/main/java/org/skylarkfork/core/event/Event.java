package org.skylarkfork.core.event;

/** An input of the reducer, passed to it together with the current time. */
public sealed interface Event
    permits StorageEvent,
        PeerEvent,
        LifecycleEvent,
        CallerEvent,
        UpstreamEvent,
        OperatorEvent,
        AdmissionEvent,
        SessionEvent,
        LedgerEvent,
        MembershipEvent,
        ConsensusEvent,
        QualityEvent,
        ConfigurationEvent,
        RelayEvent {}
