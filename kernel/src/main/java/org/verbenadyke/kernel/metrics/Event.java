package org.verbenadyke.kernel.metrics;

import java.util.Locale;

/**
 * What is counted besides refusals and retries.
 */
public enum Event {
    /** A request entered here. */
    REQUEST_IN,
    /** A whole answer was given to a caller. */
    ANSWER_WHOLE,
    /** An answer was cut short, and the caller can tell. */
    ANSWER_ABORTED,
    /** A call was received from a node. */
    CALL_IN,
    /** A call was handed to the upstream. */
    HANDED_OVER,
    /** A message matched no call and was dropped. */
    MESSAGE_UNMATCHED,
    /** A call arrived twice; the second was dropped. */
    CALL_REPEATED,
    /** A connection went silent and was closed. */
    LINK_SILENT,
    /** A connection ended for another reason. */
    LINK_LOST,
    /** A malformed or oversized frame ended its connection. */
    FRAME_REJECTED,
    /** An attempt's fate was asked for over a new connection. */
    INQUIRED,
    /** A kept answer was given again. */
    ANSWER_REPLAYED,
    /** A steering header of an outside caller was dropped. */
    HEADER_DROPPED,
    /** An upstream was taken out of the choice for a while. */
    UPSTREAM_EJECTED,
    /** The process was found to have been paused. */
    PAUSE_DETECTED,
    /** A configuration came into force. */
    CONFIG_APPLIED,
    /** A configuration record lost against another on the same base. */
    CONFIG_REJECTED,
    /** The log service failed to answer. */
    LOG_FAILED,
    /** A record was appended to the log. */
    LOG_APPENDED,
    /** The log lost what it had acknowledged: its history was replaced by an older copy. */
    LOG_REPLACED,
    /** A record or a datagram that can't be read, or a record under another's key, was left out. */
    RECORD_SKIPPED,
    /** A gossip message was sent. */
    GOSSIP_SENT,
    /** A gossip message was received. */
    GOSSIP_RECEIVED,
    /** A request began to be held back, since upstreams ended under it. */
    QUARANTINE_BEGUN,
    /** A request that was held back was answered in a trial, and is no longer held back. */
    QUARANTINE_LIFTED,
    /** An invariant was breached. */
    INVARIANT_BREACHED;

    /**
     * Returns the name used in reports.
     *
     * @return the name, in lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
