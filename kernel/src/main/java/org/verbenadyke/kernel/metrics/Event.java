package org.verbenadyke.kernel.metrics;

import java.util.Locale;

/**
 * The events that are counted, apart from refusals and retries.
 */
public enum Event {
    /** A request of a caller entered at this node. */
    REQUEST_IN,
    /** A complete answer was sent to a caller. */
    ANSWER_WHOLE,
    /** An answer was aborted, in a way that the caller can detect. */
    ANSWER_ABORTED,
    /** A call was received from a calling node. */
    CALL_IN,
    /** A call was passed to the upstream. */
    HANDED_OVER,
    /** A call was passed to the upstream of which an earlier attempt may have reached an upstream. */
    RETRY_HANDED_OVER,
    /** A call was passed to the upstream that a repeated run made. */
    INHERITED_RETRY_HANDED_OVER,
    /** A message matched no call and was dropped. */
    MESSAGE_UNMATCHED,
    /** A call arrived twice; the second was dropped. */
    CALL_REPEATED,
    /** A silent connection was closed. */
    LINK_SILENT,
    /** A connection was lost for another reason. */
    LINK_LOST,
    /** A connection was closed because of a malformed or oversized frame. */
    FRAME_REJECTED,
    /** An inquiry about an attempt's execution status was sent over a new connection. */
    INQUIRED,
    /** A stored answer was sent again. */
    ANSWER_REPLAYED,
    /** A control header of an outside caller was dropped. */
    HEADER_DROPPED,
    /** An upstream was ejected from routing for a while. */
    UPSTREAM_EJECTED,
    /** A pause of the process was detected. */
    PAUSE_DETECTED,
    /** A configuration took effect. */
    CONFIG_APPLIED,
    /** A configuration record was superseded by another based on the same version. */
    CONFIG_REJECTED,
    /** The log service failed to answer. */
    LOG_FAILED,
    /** A record was appended to the log. */
    LOG_APPENDED,
    /** The log lost what it had acknowledged: its history was replaced by an older copy. */
    LOG_REPLACED,
    /** An unreadable record or datagram, or a record under another record's key, was skipped. */
    RECORD_SKIPPED,
    /** A gossip message was sent. */
    GOSSIP_SENT,
    /** A gossip message was received. */
    GOSSIP_RECEIVED,
    /** A request was quarantined, since upstreams crashed while it was in flight. */
    QUARANTINE_BEGUN,
    /** A quarantined request was answered in a trial, and is no longer quarantined. */
    QUARANTINE_LIFTED,
    /** The colocated upstream named a rate limit in its answers. */
    RATE_LIMIT_NAMED,
    /** The colocated upstream changed its rate limit. */
    RATE_LIMIT_CHANGED,
    /** The colocated upstream names no rate limit any more. */
    RATE_LIMIT_ENDED,
    /** An answer of the colocated upstream named a rate limit that can't be read. */
    RATE_LIMIT_UNREADABLE,
    /** The colocated upstream stated in an answer that it is leaving. */
    UPSTREAM_LEAVING,
    /** A heartbeat of the colocated upstream was ignored: it arrived too late, or its start is over. */
    HEARTBEAT_LATE,
    /** The colocated upstream announced its shutdown, and this is being recorded outside this process. */
    DEPARTURE_RECORDED,
    /** An announced shutdown was not acknowledged, as neither the log nor enough other nodes have it yet. */
    DEPARTURE_UNCONFIRMED,
    /** A request was raised to the importance of more important repeatable ones. */
    IMPORTANCE_RAISED,
    /** A request was ranked below others of its importance, as surplus of its team. */
    SURPLUS_RANKED,
    /** An invariant was violated. */
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
