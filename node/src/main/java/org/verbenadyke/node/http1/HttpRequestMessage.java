package org.verbenadyke.node.http1;

import java.util.List;
import java.util.Optional;

import org.verbenadyke.kernel.call.HeaderField;

import io.netty.handler.codec.http.HttpRequest;

/**
 * A complete HTTP request, held in memory.
 *
 * @param method the method
 * @param target the path and query
 * @param fields the header fields
 * @param body the body, empty if there is none
 */
public record HttpRequestMessage(String method, String target, List<HeaderField> fields, byte[] body) {
    private static final byte[] EMPTY_BODY = {};

    /**
     * Creates a request without a body.
     *
     * @param method the method
     * @param target the path and query
     * @param fields the header fields
     * @return the request
     */
    public static HttpRequestMessage of(String method, String target, List<HeaderField> fields) {
        return new HttpRequestMessage(method, target, fields, EMPTY_BODY);
    }

    /**
     * Creates a request from its decoded head.
     *
     * @param head the head
     * @param body the body
     * @return the request
     */
    static HttpRequestMessage of(HttpRequest head, byte[] body) {
        return new HttpRequestMessage(head.method().name(), head.uri(), HttpFields.of(head.headers()), body);
    }

    /**
     * Finds a header field by its name.
     *
     * @param name the name
     * @return the first value, empty if there is no such field
     */
    public Optional<String> field(String name) {
        return HttpFields.find(fields, name);
    }
}
