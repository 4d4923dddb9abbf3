package org.skylarkfork.core.attempt;

import java.util.function.Function;
import org.skylarkfork.core.admission.Admission;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.crash.CrashJudges;
import org.skylarkfork.core.ledger.Ledger;
import org.skylarkfork.core.membership.EntryListing;
import org.skylarkfork.core.quality.QualityBook;
import org.skylarkfork.core.routing.Planner;
import org.skylarkfork.core.routing.RuleMatcher;
import org.skylarkfork.core.routing.UpstreamChooser;
import org.skylarkfork.core.session.SessionPins;
import org.skylarkfork.core.upstream.UpstreamDirectory;

/**
 * The other parts that the life of a request needs.
 *
 * @param configuration the configuration in force
 * @param ruleMatchers makes the rules of a configuration ready for matching; called once a revision
 * @param planner chooses the versions that a draft is tried on
 * @param directory the known upstreams
 * @param chooser picks the upstream of an attempt
 * @param quality what is known of each version
 * @param pins the versions that sessions keep
 * @param ledger claims and bills
 * @param admission limits and queues
 * @param listing whether this entry takes new work
 * @param judges those that judge which requests end their upstreams
 */
public record RequestCollaborators(
    ConfigurationView configuration,
    Function<Configuration, RuleMatcher> ruleMatchers,
    Planner planner,
    UpstreamDirectory directory,
    UpstreamChooser chooser,
    QualityBook quality,
    SessionPins pins,
    Ledger ledger,
    Admission admission,
    EntryListing listing,
    CrashJudges judges) {}
