package org.verbenadyke.kernel.engine;

import java.util.Optional;

import org.verbenadyke.kernel.message.Message;

/**
 * A request as it comes in over HTTP.
 *
 * @param service the service it calls
 * @param content what the upstream gets
 * @param key the idempotency key, empty if none
 * @param ttlNanos how long its caller waits, in nanoseconds, if it said
 */
public record InboundRequest(String service, Message.Content content, String key, Optional<Long> ttlNanos) {
    /**
     * Tells whether the request may run more than once, by its method.
     *
     * @return whether it is idempotent
     */
    public boolean idempotent() {
        return switch (content.method()) {
            case "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE" -> true;
            default -> false;
        };
    }
}
