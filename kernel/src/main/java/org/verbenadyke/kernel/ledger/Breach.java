package org.verbenadyke.kernel.ledger;

/**
 * A violation of an invariant.
 *
 * @param invariant the invariant
 * @param subject the request, call, key or version concerned
 * @param history the recorded events of the subject, oldest first
 */
public record Breach(Invariant invariant, String subject, String history) {}
