package org.verbenadyke.node.http1;

/**
 * Handles the requests that an {@link HttpServer} receives.
 */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Handles a request. Runs on the connection's event loop and must not block.
     *
     * @param exchange the request and the means to answer it
     */
    void handle(HttpExchange exchange);
}
