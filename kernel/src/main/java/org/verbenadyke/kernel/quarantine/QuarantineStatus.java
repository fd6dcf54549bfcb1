package org.verbenadyke.kernel.quarantine;

/**
 * How a request may run, by the known crashes of upstreams at which the request was in flight.
 */
public sealed interface QuarantineStatus {
    /** The status of nearly all requests. */
    QuarantineStatus UNRESTRICTED = new Unrestricted();

    /** The status of a request that must not run together with another suspect. */
    QuarantineStatus SOLE_SUSPECT = new SoleSuspect();

    /** The status of a quarantined request that may be tried now. */
    QuarantineStatus TRIAL = new Trial();

    /** No crash, or too few, are known. */
    record Unrestricted() implements QuarantineStatus {}

    /**
     * The request may run, but at no upstream together with another suspect, so that a crash shows which request caused
     * it.
     */
    record SoleSuspect() implements QuarantineStatus {}

    /** The request may run once, at no upstream together with another suspect. */
    record Trial() implements QuarantineStatus {}

    /**
     * The request must not run now.
     *
     * @param request the digest of the request
     * @param retryAfterNanos after how long the request may be tried again, in nanoseconds
     * @param evidence a description of the crashes: which upstreams, how long ago, reported by which nodes
     */
    record Quarantined(RequestDigest request, long retryAfterNanos, String evidence) implements QuarantineStatus {}
}
