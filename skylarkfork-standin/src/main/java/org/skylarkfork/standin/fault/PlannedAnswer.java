package org.skylarkfork.standin.fault;

import java.time.Duration;

/**
 * The second answer that a request gets.
 *
 * @param form how it is framed and how far it goes
 * @param afterFailure whether the first answer is a failure
 * @param delay how long after the first answer it is written; at once if zero
 * @param cutAt the share of its bytes that a cut answer has, from 0 to 1
 */
public record PlannedAnswer(
    SecondAnswer.Form form, boolean afterFailure, Duration delay, double cutAt) {}
