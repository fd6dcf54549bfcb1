package org.verbenadyke.node.http1;

import java.util.List;
import java.util.Optional;

import org.verbenadyke.kernel.call.HeaderField;

/**
 * A whole request.
 *
 * @param method the method
 * @param target the path and query
 * @param fields the header fields
 * @param body the body, empty if there is none
 */
public record HttpRequestMessage(String method, String target, List<HeaderField> fields, byte[] body) {
    private static final byte[] NOTHING = {};

    /**
     * Creates a request without a body.
     *
     * @param method the method
     * @param target the path and query
     * @param fields the header fields
     * @return the request
     */
    public static HttpRequestMessage of(String method, String target, List<HeaderField> fields) {
        return new HttpRequestMessage(method, target, fields, NOTHING);
    }

    /**
     * Finds a header field.
     *
     * @param name its name
     * @return its first value
     */
    public Optional<String> field(String name) {
        return HttpFields.find(fields, name);
    }
}
