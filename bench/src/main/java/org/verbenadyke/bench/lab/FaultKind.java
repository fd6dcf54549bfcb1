package org.verbenadyke.bench.lab;

/**
 * What goes wrong in a randomised run.
 */
public enum FaultKind {
    /** A node and its upstream are killed and started again with nothing kept. */
    KILL,
    /** A node is paused, often for longer than its peers wait. */
    PAUSE,
    /** An upstream alone is killed; it announces itself again later. */
    KILL_UPSTREAM,
    /** Open connections carry nothing any more. */
    SILENCE,
    /** Open connections break. */
    SEVER,
    /** The log fails every call. */
    LOG_OUTAGE,
    /** The log is slow. */
    LOG_SLOW,
    /** Answers of the log are lost after the append took effect. */
    LOG_LOSS,
    /** The log drops all but the last few records. */
    RETENTION,
    /** Two operators confirm different changes at the same moment. */
    RACE,
    /** An upstream drains and comes back. */
    DRAIN,
    /** A server stops as planned and is replaced. */
    RESTART,
    /** A service slows down. */
    SLOW,
    /** An upstream fails many calls. */
    FAIL,
    /** Many nodes crash at once and start again at once, at the same addresses; their upstreams go on. */
    CRASH_NODES,
    /** Many nodes crash at once, some with their upstreams, and start again at once at the same addresses. */
    CRASH_SERVERS,
    /** The two regions lose each other. */
    PARTITION
}
