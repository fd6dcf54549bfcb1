package org.verbenadyke.kernel.serve;

/** The state of a received call. */
enum Phase {
    /** Not handed to the upstream yet. */
    WAITING,
    /** Handed to the upstream and unfinished. */
    HANDED,
    /** Answered or refused. */
    FINISHED
}
