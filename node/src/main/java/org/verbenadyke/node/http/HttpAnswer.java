package org.verbenadyke.node.http;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.verbenadyke.kernel.call.AnswerSink;
import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.dispatch.CallHandle;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;

import io.servicetalk.concurrent.SingleSource;
import io.servicetalk.concurrent.api.Processors;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.concurrent.api.SourceAdapters;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.transport.api.ConnectionContext;

/**
 * Writes one answer to a caller over HTTP. If the answer is cut short, the caller's connection is closed without the
 * last chunk, so that the caller can't mistake the answer for a complete one.
 */
final class HttpAnswer implements AnswerSink, BodySource.Observer {
    private final StreamingHttpResponseFactory responses;
    private final ConnectionContext connection;
    private final Counters counters;
    private final SingleSource.Processor<StreamingHttpResponse, StreamingHttpResponse> response =
            Processors.newSingleProcessor();
    private final BodySource body = new BodySource(this);
    private final AtomicReference<CallHandle> handle = new AtomicReference<>();

    HttpAnswer(StreamingHttpResponseFactory responses, ConnectionContext connection, Counters counters) {
        this.responses = responses;
        this.connection = connection;
        this.counters = counters;
    }

    Single<StreamingHttpResponse> response() {
        return SourceAdapters.fromSource(response).beforeCancel(this::callerDisconnected);
    }

    void attach(CallHandle newHandle) {
        handle.set(newHandle);
    }

    @Override
    public void head(int status, List<HeaderField> headers) {
        StreamingHttpResponse r = responses.newResponse(HttpResponseStatus.of(status, ""));
        headers.stream().filter(h -> HeaderNames.isEndToEnd(h.name())).forEach(h -> r.addHeader(h.name(), h.value()));
        response.onSuccess(r.payloadBody(SourceAdapters.fromSource(body)));
    }

    @Override
    public void data(byte[] bytes) {
        body.add(connection.executionContext().bufferAllocator().wrap(bytes));
    }

    @Override
    public void end() {
        counters.count(Event.ANSWER_WHOLE);
        body.end();
    }

    @Override
    public void refused(Refusal refusal) {
        response.onSuccess(
                ProblemDetails.response(responses, connection.executionContext().bufferAllocator(), refusal));
    }

    @Override
    public void aborted() {
        body.fail(new AnswerCutShort());
    }

    @Override
    public void fragmentTaken(int bytes) {
        Optional.ofNullable(handle.get()).ifPresent(h -> h.credit(bytes));
    }

    @Override
    public void callerDisconnected() {
        Optional.ofNullable(handle.get()).ifPresent(CallHandle::cancel);
    }

    /**
     * Signals that the rest of an answer is unavailable; closes the caller's connection.
     */
    private static final class AnswerCutShort extends RuntimeException {
        private static final long serialVersionUID = 1L;

        private AnswerCutShort() {
            super("The answer was cut short by its upstream", null, false, false);
        }
    }
}
