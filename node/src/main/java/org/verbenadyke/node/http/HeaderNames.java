package org.verbenadyke.node.http;

import java.util.Locale;
import java.util.Set;

/**
 * The HTTP header fields that the system reads and sets.
 */
public final class HeaderNames {
    /** Names the call that an upstream serves; the upstream copies it to its own calls. */
    public static final String CONTEXT = "verbenadyke-context";

    /** How long a caller waits, or an upstream has left, in milliseconds. */
    public static final String DEADLINE = "verbenadyke-deadline-ms";

    /** Whether a refused request ran. */
    public static final String RUN_STATE = "verbenadyke-run-state";

    /** Why a request was refused. */
    public static final String REASON = "verbenadyke-reason";

    /** When a refused caller may come back, in milliseconds. */
    public static final String RETRY_AFTER_MILLIS = "verbenadyke-retry-after-ms";

    /** How much a request matters; set by the nodes. */
    public static final String IMPORTANCE = "verbenadyke-importance";

    /** The request of the whole chain; set by the nodes. */
    public static final String REQUEST = "verbenadyke-request";

    /** When a refused caller may come back, in seconds. */
    public static final String RETRY_AFTER = "retry-after";

    /** Names a non-idempotent request, so that it can be sent again. */
    public static final String IDEMPOTENCY_KEY = "idempotency-key";

    private static final String PREFIX = "verbenadyke-";
    private static final Set<String> PER_CONNECTION = Set.of(
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
     * Tells whether a field is passed on.
     *
     * @param name the name
     * @return false for fields of one connection only
     */
    public static boolean passedOn(String name) {
        return !PER_CONNECTION.contains(name.toLowerCase(Locale.ROOT));
    }

    /**
     * Tells whether a field steers decisions, so that it is never taken from outside.
     *
     * @param name the name
     * @return whether it is one of the system's own
     */
    public static boolean steering(String name) {
        return name.toLowerCase(Locale.ROOT).startsWith(PREFIX);
    }
}
