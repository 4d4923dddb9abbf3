package org.skylarkfork.core.order;

import java.time.Instant;

/**
 * The right to give orders.
 *
 * @param holder who has or had it
 * @param fencingNumber its number; rises with each holder
 * @param durationMillis how long it is valid after each renewal, in milliseconds
 * @param orderMillis how long an order sent under it may take, in milliseconds
 * @param endsAt when it may be given to another, by the leader's time
 * @param isReleased whether it was given back
 * @param unsafeMillis time after its end for which orders of earlier holders may be on their way
 */
public record OrderLease(
    String holder,
    long fencingNumber,
    long durationMillis,
    long orderMillis,
    Instant endsAt,
    boolean isReleased,
    long unsafeMillis) {}
