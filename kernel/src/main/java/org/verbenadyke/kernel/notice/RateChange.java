package org.verbenadyke.kernel.notice;

/**
 * How a notice changed the rate limit of an upstream.
 */
public sealed interface RateChange {
    /** The limit is as before, or there is none. */
    record Unchanged() implements RateChange {}

    /**
     * The upstream named a limit for the first time, or again after one had ended.
     *
     * @param perSecond the limit, in requests per second
     */
    record Named(double perSecond) implements RateChange {}

    /**
     * The upstream named another limit.
     *
     * @param before the limit before, in requests per second
     * @param perSecond the limit now, in requests per second
     */
    record Changed(double before, double perSecond) implements RateChange {}

    /**
     * The upstream names no limit any more.
     *
     * @param perSecond the last limit, in requests per second
     * @param heldMillis how long there was a limit, in milliseconds
     * @param handedOver how many calls were handed over in that time
     */
    record Ended(double perSecond, long heldMillis, long handedOver) implements RateChange {}

    /**
     * The upstream named a limit that can't be read; the limit is as before.
     *
     * @param text the received text
     * @param perSecond the limit in force, in requests per second; infinite if there is none
     */
    record Rejected(String text, double perSecond) implements RateChange {}
}
