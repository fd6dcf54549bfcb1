package org.verbenadyke.kernel.engine;

import java.util.Optional;

import org.verbenadyke.kernel.message.Message;

/**
 * A request as received over HTTP.
 *
 * @param service the service it calls
 * @param content what is sent to the upstream
 * @param key the idempotency key, empty if none
 * @param ttlNanos the caller's timeout in nanoseconds, if the request states one
 */
public record InboundRequest(String service, Message.Content content, String key, Optional<Long> ttlNanos) {
    /**
     * Returns whether the method allows the request to run more than once.
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
