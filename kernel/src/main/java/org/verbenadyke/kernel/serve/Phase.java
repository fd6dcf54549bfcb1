package org.verbenadyke.kernel.serve;

/** Where a received call stands. */
enum Phase {
    /** Not handed over. */
    WAITING,
    /** Handed over and unfinished. */
    HANDED,
    /** Answered or refused. */
    FINISHED
}
