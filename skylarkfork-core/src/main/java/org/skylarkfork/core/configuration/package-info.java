/**
 * What operators decide: teams, models, rules, roll-outs and withdrawals, agreed on and in force.
 */
@NullMarked
package org.skylarkfork.core.configuration;

import org.jspecify.annotations.NullMarked;
