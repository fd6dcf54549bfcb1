package org.verbenadyke.node.http;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.engine.Engine;
import org.verbenadyke.kernel.engine.InboundRequest;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;

/**
 * Takes requests over HTTP. The first segment of the path names the service; the upstream gets the rest.
 */
public final class RequestService implements StreamingHttpService {
    /** The largest body of a request, in bytes. */
    public static final int BODY_MOST = 1024 * 1024;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Engine engine;
    private final Counters counters;
    private final boolean fromUpstream;

    private RequestService(Engine engine, Counters counters, boolean fromUpstream) {
        this.engine = engine;
        this.counters = counters;
        this.fromUpstream = fromUpstream;
    }

    /**
     * Creates the service for callers from outside; their steering headers are dropped.
     *
     * @param engine the request path
     * @param counters where refusals are counted
     * @return the service
     */
    public static RequestService forCallers(Engine engine, Counters counters) {
        return new RequestService(engine, counters, false);
    }

    /**
     * Creates the service for the upstream beside the node.
     *
     * @param engine the request path
     * @param counters where refusals are counted
     * @return the service
     */
    public static RequestService forUpstream(Engine engine, Counters counters) {
        return new RequestService(engine, counters, true);
    }

    @Override
    public Single<StreamingHttpResponse> handle(
            HttpServiceContext context, StreamingHttpRequest request, StreamingHttpResponseFactory responses) {
        HttpAnswer answer = new HttpAnswer(responses, context, counters);
        return request.payloadBody()
                .collect(BodyCollector::new, BodyCollector::add)
                .flatMap(body -> {
                    accept(request, body, answer);
                    return answer.response();
                });
    }

    private void accept(StreamingHttpRequest request, BodyCollector body, HttpAnswer answer) {
        if (body.tooLarge()) {
            refuse(answer, RefusalReason.BODY_TOO_LARGE);
            return;
        }
        Optional<InboundRequest> inbound = inbound(request, body.bytes());
        if (inbound.isEmpty()) {
            refuse(answer, RefusalReason.NO_SERVICE);
            return;
        }
        Optional<String> token = header(request, HeaderNames.CONTEXT);
        if (fromUpstream && token.isPresent()) {
            engine.submitNested(token.get(), inbound.get(), answer).ifPresent(answer::steer);
            return;
        }
        answer.steer(engine.submit(inbound.get(), answer));
    }

    private void refuse(HttpAnswer answer, RefusalReason reason) {
        counters.refused(RunState.NOT_RUN, reason);
        answer.refused(Refusal.notRun(reason, 0));
    }

    private Optional<InboundRequest> inbound(StreamingHttpRequest request, byte[] body) {
        String target = request.requestTarget();
        int end = target.indexOf('/', 1);
        if (!target.startsWith("/") || end <= 1) {
            return Optional.empty();
        }
        String service = target.substring(1, end);
        Message.Content content =
                new Message.Content(request.method().name(), target.substring(end), fields(request), body);
        String key = header(request, HeaderNames.IDEMPOTENCY_KEY).orElse("");
        return Optional.of(new InboundRequest(service, content, key, ttl(request)));
    }

    private List<HeaderField> fields(StreamingHttpRequest request) {
        List<HeaderField> fields = new ArrayList<>();
        for (Map.Entry<CharSequence, CharSequence> h : request.headers()) {
            String name = h.getKey().toString().toLowerCase(Locale.ROOT);
            if (HeaderNames.steering(name)) {
                if (!fromUpstream && !name.equals(HeaderNames.DEADLINE)) {
                    counters.count(Event.HEADER_DROPPED);
                }
            } else if (HeaderNames.passedOn(name)) {
                fields.add(new HeaderField(name, h.getValue().toString()));
            }
        }
        return fields;
    }

    private static Optional<Long> ttl(StreamingHttpRequest request) {
        return header(request, HeaderNames.DEADLINE)
                .filter(v -> v.matches("[0-9]{1,9}"))
                .map(v -> Long.parseLong(v) * NANOS_PER_MILLI);
    }

    private static Optional<String> header(StreamingHttpRequest request, String name) {
        return Optional.ofNullable(request.headers().get(name)).map(CharSequence::toString);
    }

    /**
     * Collects a body up to the limit.
     */
    private static final class BodyCollector {
        private byte[] bytes = new byte[0];
        private boolean tooLarge;

        BodyCollector add(Buffer buffer) {
            int more = buffer.readableBytes();
            if (tooLarge || bytes.length + more > BODY_MOST) {
                tooLarge = true;
                buffer.skipBytes(more);
                return this;
            }
            byte[] grown = Arrays.copyOf(bytes, bytes.length + more);
            buffer.readBytes(grown, bytes.length, more);
            bytes = grown;
            return this;
        }

        boolean tooLarge() {
            return tooLarge;
        }

        byte[] bytes() {
            return bytes;
        }
    }
}
