package org.verbenadyke.node.http;

import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.verbenadyke.kernel.call.HeaderField;

/**
 * The names of the HTTP header fields that nodes read and set.
 */
public final class HeaderNames {
    /** Identifies the call that an upstream serves; the upstream copies the field to its own calls. */
    public static final String CONTEXT = "verbenadyke-context";

    /** A caller's timeout, or the time that an upstream has left, in milliseconds. */
    public static final String DEADLINE = "verbenadyke-deadline-ms";

    /** Whether a refused request ran. */
    public static final String RUN_STATE = "verbenadyke-run-state";

    /** Why a request was refused. */
    public static final String REASON = "verbenadyke-reason";

    /** How long a refused caller should wait before a retry, in milliseconds. */
    public static final String RETRY_AFTER_MILLIS = "verbenadyke-retry-after-ms";

    /** The importance of a request; set by the nodes. */
    public static final String IMPORTANCE = "verbenadyke-importance";

    /** The id of the request that a whole call chain serves; set by the nodes. */
    public static final String REQUEST = "verbenadyke-request";

    /** How long a refused caller should wait before a retry, in seconds. */
    public static final String RETRY_AFTER = "retry-after";

    /** Identifies a non-idempotent request, so that it can safely be sent again. */
    public static final String IDEMPOTENCY_KEY = "idempotency-key";

    /** The requests per second that an upstream accepts, named in its answers. */
    public static final String RATE_LIMIT = "verbenadyke-limit";

    /** States in an answer that the upstream is leaving, if the value is 1. */
    public static final String LEAVING = "verbenadyke-leaving";

    private static final String PREFIX = "verbenadyke-";
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "transfer-encoding",
            "te",
            "trailer",
            "upgrade",
            "host",
            "content-length");

    private HeaderNames() {}

    /**
     * Returns whether a field is end-to-end and therefore forwarded.
     *
     * @param name the name
     * @return false for hop-by-hop fields
     */
    public static boolean isEndToEnd(String name) {
        return !HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT));
    }

    /**
     * Removes the fields that an upstream addresses to its node. A caller that is an upstream itself might copy them to
     * its own answers.
     *
     * @param fields the fields of an answer
     * @return the other fields
     */
    static List<HeaderField> withoutNotices(List<HeaderField> fields) {
        return fields.stream()
                .filter(f -> !f.name().equals(RATE_LIMIT) && !f.name().equals(LEAVING))
                .toList();
    }

    /**
     * Returns whether a field controls the nodes' decisions. Such fields are never forwarded, and of those that
     * external callers send, only the deadline is used.
     *
     * @param name the name
     * @return whether the field is reserved for nodes
     */
    public static boolean isControlHeader(String name) {
        return name.toLowerCase(Locale.ROOT).startsWith(PREFIX);
    }
}
