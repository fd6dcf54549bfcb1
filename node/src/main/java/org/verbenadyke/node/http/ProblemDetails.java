package org.verbenadyke.node.http;

import java.nio.charset.StandardCharsets;

import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RunState;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;

/**
 * Builds the responses to refused requests as problem details (RFC 9457).
 */
final class ProblemDetails {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1_000;

    private ProblemDetails() {}

    static StreamingHttpResponse response(
            StreamingHttpResponseFactory responses, BufferAllocator allocator, Refusal refusal) {
        byte[] body = body(refusal);
        StreamingHttpResponse r =
                responses.newResponse(HttpResponseStatus.of(refusal.reason().status(), ""));
        r.setHeader("content-type", "application/problem+json");
        r.setHeader("content-length", Integer.toString(body.length));
        r.setHeader(HeaderNames.RUN_STATE, refusal.state().label());
        r.setHeader(HeaderNames.REASON, refusal.reason().label());
        long after = refusal.retryAfterMillis();
        if (after > 0) {
            r.setHeader(HeaderNames.RETRY_AFTER, Long.toString((after + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND));
            r.setHeader(HeaderNames.RETRY_AFTER_MILLIS, Long.toString(after));
        }
        return r.payloadBody(Publisher.from(allocator.wrap(body)));
    }

    private static byte[] body(Refusal refusal) {
        ObjectNode node = JSON.createObjectNode();
        node.put("type", "urn:verbenadyke:refusal:" + refusal.reason().label());
        node.put("title", title(refusal.state()));
        node.put("status", refusal.reason().status());
        node.put("runState", refusal.state().label());
        node.put("reason", refusal.reason().label());
        node.put("retryAfterMs", refusal.retryAfterMillis());
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static String title(RunState state) {
        return switch (state) {
            case NOT_RUN -> "The request was refused and has not run.";
            case MAY_HAVE_RUN -> "The request may have run; its outcome is not known.";
            case RAN -> "The request ran; its answer can't be given.";
        };
    }
}
