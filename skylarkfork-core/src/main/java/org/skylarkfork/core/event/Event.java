package org.skylarkfork.core.event;

/** Something that happened, given to the reducer together with the present time. */
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
