package org.verbenadyke.kernel.quarantine;

/**
 * How a request stands, by what is known of the upstreams that ended while they had it.
 */
public sealed interface QuarantineStatus {
    /** The standing of nearly all requests. */
    QuarantineStatus UNRESTRICTED = new Unrestricted();

    /** The standing of a request that must have no other suspect beside it. */
    QuarantineStatus SOLE_SUSPECT = new SoleSuspect();

    /** Nothing, or too little, is known against it. */
    record Unrestricted() implements QuarantineStatus {}

    /** It may run, but at no upstream beside another suspect, so that an end shows which of them it was. */
    record SoleSuspect() implements QuarantineStatus {}

    /**
     * It must not run now.
     *
     * @param request what it asks for
     * @param nanos after how long it may be tried again, in nanoseconds
     * @param evidence the ends in words: which, how long ago, told by whom
     */
    record Quarantined(RequestDigest request, long nanos, String evidence) implements QuarantineStatus {}
}
