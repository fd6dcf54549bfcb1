package org.verbenadyke.node.http1;

import java.util.List;

import io.netty.handler.codec.http.HttpResponseStatus;

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

    /**
     * Returns whether the memory for the body of a request is limited. Runs on the connection's event loop and must not
     * block.
     *
     * @param head the request without its body
     * @return whether the body has to wait for memory
     */
    default boolean countsBody(HttpRequestMessage head) {
        return true;
    }

    /**
     * Refuses a request whose body the server has no memory for. Runs on the connection's event loop and must not
     * block.
     *
     * @param exchange the request without its body, and the means to answer it
     */
    default void refuseBody(HttpExchange exchange) {
        exchange.answer(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), List.of(), new byte[0]);
    }

    /**
     * Refuses a request whose caller stopped sending in the middle of its body. Runs on the connection's event loop and
     * must not block. The connection closes after the answer.
     *
     * @param exchange the request without its body, and the means to answer it
     */
    default void refuseStalledBody(HttpExchange exchange) {
        exchange.answer(HttpResponseStatus.REQUEST_TIMEOUT.code(), List.of(), new byte[0]);
    }
}
