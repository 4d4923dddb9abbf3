/**
 * The operators' configuration (teams, models, rules, roll-outs and withdrawals), its replication
 * and its distribution to daemons.
 */
@NullMarked
package org.skylarkfork.core.configuration;

import org.jspecify.annotations.NullMarked;
