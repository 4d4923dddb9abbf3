package org.skylarkfork.core.message;

/** A message from one daemon to another. */
public sealed interface PeerMessage
    permits RaftMessage,
        MembershipMessage,
        QualityMessage,
        ConfigurationMessage,
        LedgerMessage,
        SessionMessage,
        DirectoryMessage,
        LimitMessage,
        CrashMessage,
        RelayMessage,
        SlotMessage {}
