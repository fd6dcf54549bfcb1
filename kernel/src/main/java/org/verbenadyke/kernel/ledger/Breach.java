package org.verbenadyke.kernel.ledger;

/**
 * A promise that was not kept.
 *
 * @param promise which one
 * @param subject the request, call or version concerned
 * @param history what was noted of it, oldest first
 */
public record Breach(Invariant promise, String subject, String history) {}
