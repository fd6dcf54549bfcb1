package org.verbenadyke.node.http;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.notice.NoticeReader;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.serve.UpstreamPort;
import org.verbenadyke.node.transport.ServerProbe;
import org.verbenadyke.node.transport.ServiceTalkEventLoops;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.client.api.ConnectTimeoutException;
import io.servicetalk.client.api.NoAvailableHostException;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.PublisherSource;
import io.servicetalk.concurrent.SingleSource;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.SourceAdapters;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.transport.api.IoExecutor;

/**
 * Sends calls over HTTP to the upstream that the node is colocated with. The client's own retries are off: a call is
 * sent only once.
 */
public final class HttpUpstream implements UpstreamPort, AutoCloseable {
    private static final Logger LOG = LogManager.getLogger("http");
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final StreamingHttpClient client;
    private final ServerProbe probe;

    private HttpUpstream(StreamingHttpClient client, ServerProbe presence) {
        this.client = client;
        this.probe = presence;
    }

    /**
     * Creates the port to an upstream.
     *
     * @param address the upstream's address
     * @param executor the threads that serve connections
     * @param connectionRefusedListener is called each time that a connection is refused, so that the upstream has ended
     * @return the port
     */
    public static HttpUpstream to(Endpoint address, IoExecutor executor, Runnable connectionRefusedListener) {
        // A resolved address is usable at once; a host name is resolved asynchronously, and requests fail until then.
        StreamingHttpClient client = HttpClients.forResolvedAddress(
                        new InetSocketAddress(address.host(), address.port()))
                .ioExecutor(executor)
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .appendClientFilter(RetryingHttpRequesterFilter.disableAllRetries())
                .appendConnectionFilter(StatusLineHandler::watch)
                .buildStreaming();
        return new HttpUpstream(
                client, ServerProbe.of(address, ServiceTalkEventLoops.of(executor), connectionRefusedListener));
    }

    @Override
    public Exchange start(HandOver handOver, Listener listener) {
        UpstreamExchange exchange = new UpstreamExchange(listener, probe);
        SourceAdapters.toSource(client.request(toHttpRequest(handOver))).subscribe(exchange);
        return exchange;
    }

    @Override
    public void close() {
        client.closeAsync().subscribe();
    }

    private StreamingHttpRequest toHttpRequest(HandOver handOver) {
        HttpRequestMethod method = HttpRequestMethod.of(handOver.content().method(), HttpRequestMethod.Properties.NONE);
        StreamingHttpRequest request =
                client.newRequest(method, handOver.content().path());
        handOver.content().headers().forEach(h -> request.addHeader(h.name(), h.value()));
        request.setHeader(HeaderNames.CONTEXT, handOver.contextToken());
        request.setHeader(HeaderNames.REQUEST, handOver.request().toString());
        request.setHeader(HeaderNames.IMPORTANCE, handOver.importance().name().toLowerCase(Locale.ROOT));
        request.setHeader(HeaderNames.DEADLINE, Long.toString(handOver.remainingNanos() / NANOS_PER_MILLI));
        byte[] body = handOver.content().body();
        if (body.length > 0) {
            request.setHeader("content-length", Integer.toString(body.length));
            request.payloadBody(
                    Publisher.from(client.executionContext().bufferAllocator().wrap(body)));
        }
        return request;
    }

    private static List<HeaderField> endToEndFields(StreamingHttpResponse response) {
        List<HeaderField> fields = new ArrayList<>();
        for (Map.Entry<CharSequence, CharSequence> h : response.headers()) {
            String name = h.getKey().toString().toLowerCase(Locale.ROOT);
            if (HeaderNames.isEndToEnd(name)) {
                fields.add(new HeaderField(name, h.getValue().toString()));
            }
        }
        return fields;
    }

    /**
     * One call to the upstream and its answer.
     */
    private static final class UpstreamExchange
            implements Exchange, SingleSource.Subscriber<StreamingHttpResponse>, PublisherSource.Subscriber<Buffer> {
        private static final Cancellable CANCELLED = () -> {};

        private final Listener listener;
        private final ServerProbe probe;
        private final AtomicReference<Cancellable> current = new AtomicReference<>();
        private volatile PublisherSource.Subscription body;

        private UpstreamExchange(Listener listener, ServerProbe presence) {
            this.listener = listener;
            this.probe = presence;
        }

        @Override
        public void request() {
            PublisherSource.Subscription b = body;
            if (b != null) {
                b.request(1);
            }
        }

        @Override
        public void cancel() {
            Cancellable c = current.getAndSet(CANCELLED);
            if (c != null) {
                c.cancel();
            }
        }

        @Override
        public void onSubscribe(Cancellable cancellable) {
            setCancellable(cancellable);
        }

        @Override
        public void onSuccess(StreamingHttpResponse response) {
            Optional<String> fault = AnswerCheck.fault(response);
            if (fault.isPresent()) {
                LOG.info("An answer of the upstream could not be decoded: {}.", fault.get());
                response.payloadBody().ignoreElements().subscribe().cancel();
                listener.broken();
                return;
            }
            List<HeaderField> fields = endToEndFields(response);
            int status = response.status().code();
            SourceAdapters.toSource(response.payloadBody()).subscribe(this);
            listener.notice(NoticeReader.read(fields, HeaderNames.RATE_LIMIT, HeaderNames.LEAVING));
            listener.head(status, HeaderNames.withoutNotices(fields));
        }

        @Override
        public void onSubscribe(PublisherSource.Subscription subscription) {
            body = subscription;
            setCancellable(subscription);
        }

        @Override
        public void onNext(Buffer buffer) {
            byte[] bytes = new byte[buffer.readableBytes()];
            buffer.readBytes(bytes);
            listener.data(bytes);
        }

        @Override
        public void onError(Throwable failure) {
            if (!(failure instanceof ConnectTimeoutException)) {
                probe.reportIfRefused(failure);
            }
            if (failure instanceof ConnectException || failure instanceof NoAvailableHostException) {
                listener.unreachable();
                return;
            }
            probe.reportBreakCause(listener);
        }

        @Override
        public void onComplete() {
            listener.end();
        }

        private void setCancellable(Cancellable cancellable) {
            Cancellable previous = current.getAndUpdate(c -> c == CANCELLED ? CANCELLED : cancellable);
            if (previous == CANCELLED) {
                cancellable.cancel();
            }
        }
    }
}
