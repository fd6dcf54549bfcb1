package org.verbenadyke.kernel.ledger;

/**
 * A promise that was not kept.
 *
 * @param invariant which one
 * @param subject the request, call or version concerned
 * @param history what was noted of it, oldest first
 */
public record Breach(Promise invariant, String subject, String history) {}
