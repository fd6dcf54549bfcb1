package org.verbenadyke.node.http1;

/**
 * Takes the requests of a server.
 */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Takes a request. Runs on the connection's thread and must not block.
     *
     * @param exchange the request and the way to answer it
     */
    void handle(HttpExchange exchange);
}
