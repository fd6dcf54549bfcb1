package org.verbenadyke.kernel.quarantine;

/**
 * How a request stands, by what is known of the upstreams that ended while they had it.
 */
public sealed interface Standing {
    /** The standing of nearly all requests. */
    Standing FREE = new Free();

    /** The standing of a request that must have no other suspect beside it. */
    Standing ALONE = new Alone();

    /** Nothing, or too little, is known against it. */
    record Free() implements Standing {}

    /** It may run, but at no upstream beside another suspect, so that an end shows which of them it was. */
    record Alone() implements Standing {}

    /**
     * It must not run now.
     *
     * @param request what it asks for
     * @param nanos after how long it may be tried again, in nanoseconds
     * @param evidence the ends in words: which, how long ago, told by whom
     */
    record Held(RequestDigest request, long nanos, String evidence) implements Standing {}
}
