package org.verbenadyke.node.http1;

import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;

/**
 * The answers of a connection to requests that it can't read. The connection closes after each of them.
 */
final class Rejections {
    private Rejections() {}

    static FullHttpResponse response(HttpResponseStatus status) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close");
        return response;
    }

    /** Returns the status for a request that the decoder failed to read. */
    static HttpResponseStatus statusOf(Throwable cause) {
        return switch (cause) {
            case TooLongHttpHeaderException e -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
            case TooLongHttpLineException e -> HttpResponseStatus.REQUEST_URI_TOO_LONG;
            default -> HttpResponseStatus.BAD_REQUEST;
        };
    }
}
