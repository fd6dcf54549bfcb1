package org.verbenadyke.node.http;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.notice.RateNotice;
import org.verbenadyke.kernel.notice.UpstreamNotice;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.serve.UpstreamPort;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.netty.internal.EventLoopAwareNettyIoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests what {@link HttpUpstream} reads from the header of an answer, and what it passes on. */
final class HttpUpstreamNoticeTest {
    private static final int TIMEOUT_SECONDS = 20;

    /** A caller that copies all fields to answers of its own would otherwise name the limit of another upstream. */
    @Test
    void readsTheNoticeOfAnAnswerAndDoesNotPassItOn() throws Exception {
        EventLoopAwareNettyIoExecutor io = NettyIoExecutors.createIoExecutor(1, "io");
        try (HttpServerContext server = HttpServers.forAddress(new InetSocketAddress("127.0.0.1", 0))
                .ioExecutor(io)
                .listenStreamingAndAwait((context, request, responses) -> Single.succeeded(responses
                        .ok()
                        .addHeader("Verbenadyke-Limit", "44.9")
                        .addHeader("verbenadyke-leaving", "1")
                        .addHeader("x-own", "kept")))) {
            int port = ((InetSocketAddress) server.listenAddress()).getPort();
            try (HttpUpstream upstream = HttpUpstream.to(new Endpoint("127.0.0.1", port), io, () -> {})) {
                HeadListener listener = new HeadListener();
                upstream.start(handOver(), listener);
                List<HeaderField> fields = listener.heads.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
                assertEquals(new UpstreamNotice(new RateNotice.Limit(44.9), true), listener.notice);
                assertEquals(List.of(new HeaderField("x-own", "kept")), fields);
            }
        } finally {
            io.closeAsync().toFuture().get();
        }
    }

    private static UpstreamPort.HandOver handOver() {
        Message.Content content = new Message.Content("GET", "/x", List.of(), new byte[0]);
        return new UpstreamPort.HandOver(
                content, "token", new RequestId(1, 1), Importance.NORMAL, TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS));
    }

    /** Keeps the notice and the head of an answer. */
    private static final class HeadListener implements UpstreamPort.Listener {
        private final BlockingQueue<List<HeaderField>> heads = new ArrayBlockingQueue<>(1);
        private volatile UpstreamNotice notice = UpstreamNotice.NONE;

        @Override
        public void notice(UpstreamNotice received) {
            notice = received;
        }

        @Override
        public void head(int status, List<HeaderField> headers) {
            heads.add(headers);
        }

        @Override
        public void notRun() {
            // Not expected here.
        }

        @Override
        public void unreachable() {
            // Not expected here.
        }

        @Override
        public void data(byte[] bytes) {
            // Only the head counts.
        }

        @Override
        public void end() {
            // Only the head counts.
        }

        @Override
        public void broken() {
            // Not expected here.
        }
    }
}
