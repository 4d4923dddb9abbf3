package org.skylarkfork.core.attempt;

import java.util.function.Function;
import org.skylarkfork.core.admission.Admission;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.crash.CrashReviewers;
import org.skylarkfork.core.ledger.Ledger;
import org.skylarkfork.core.membership.EntryListing;
import org.skylarkfork.core.quality.VersionQuality;
import org.skylarkfork.core.routing.Planner;
import org.skylarkfork.core.routing.RuleBook;
import org.skylarkfork.core.routing.UpstreamChooser;
import org.skylarkfork.core.session.SessionPins;
import org.skylarkfork.core.upstream.UpstreamDirectory;

/**
 * The components that request processing depends on.
 *
 * @param configuration the configuration in force
 * @param ruleBooks compiles the rules of a configuration for matching; called once per revision
 * @param planner selects the versions that a draft is tried on
 * @param directory the known upstreams
 * @param chooser selects the upstream of an attempt
 * @param quality quality estimates of each version
 * @param pins the versions that sessions are pinned to
 * @param ledger records claims, outcomes and bills
 * @param admission applies limits and queues requests
 * @param listing whether this entry accepts new work
 * @param crashReviewers receive reports of requests that may have crashed their upstreams
 */
public record RequestCollaborators(
    ConfigurationView configuration,
    Function<Configuration, RuleBook> ruleBooks,
    Planner planner,
    UpstreamDirectory directory,
    UpstreamChooser chooser,
    VersionQuality quality,
    SessionPins pins,
    Ledger ledger,
    Admission admission,
    EntryListing listing,
    CrashReviewers crashReviewers) {}
