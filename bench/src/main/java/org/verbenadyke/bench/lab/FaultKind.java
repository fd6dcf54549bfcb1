package org.verbenadyke.bench.lab;

/**
 * The kinds of faults in a randomised run.
 */
public enum FaultKind {
    /** A node and its upstream are killed and restarted without any kept state. */
    KILL,
    /** A node is paused, often for longer than the timeouts of its peers. */
    PAUSE,
    /** An upstream alone is killed; it announces itself again later. */
    KILL_UPSTREAM,
    /** Open connections silently drop all data. */
    SILENCE,
    /** Open connections break. */
    SEVER,
    /** The log fails every call. */
    LOG_OUTAGE,
    /** The log is slow. */
    LOG_SLOW,
    /** Replies of the log are lost after the append took effect. */
    LOG_LOSS,
    /** The log drops all but the last few records. */
    RETENTION,
    /** Two operators confirm different changes at the same moment. */
    RACE,
    /** An upstream drains and is announced again. */
    DRAIN,
    /** An upstream names a rate limit in its answers. */
    RATE_LIMIT,
    /** An upstream states in its answers that it is leaving, and is replaced later. */
    LEAVING_NOTICE,
    /** A server stops gracefully and is replaced. */
    RESTART,
    /** A service slows down. */
    SLOW,
    /** An upstream fails many calls. */
    FAIL,
    /** Many nodes crash at the same moment and restart soon at the same addresses; their upstreams keep running. */
    CRASH_NODES,
    /** Many nodes crash at the same moment, some with their upstreams, and restart soon at the same addresses. */
    CRASH_SERVERS,
    /** The two regions can't reach each other. */
    PARTITION
}
