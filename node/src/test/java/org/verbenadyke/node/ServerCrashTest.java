package org.verbenadyke.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.notice.UpstreamNotice;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.serve.UpstreamPort;
import org.verbenadyke.node.http.HttpUpstream;
import org.verbenadyke.node.http1.HttpPool;
import org.verbenadyke.node.http1.HttpRequestMessage;
import org.verbenadyke.node.http1.PoolSettings;
import org.verbenadyke.node.http1.PooledUpstream;
import org.verbenadyke.node.http1.UpstreamDialect;
import org.verbenadyke.node.time.EventLoopTimerService;
import org.verbenadyke.node.transport.EventLoops;
import org.verbenadyke.node.transport.ServiceTalkEventLoops;

import io.servicetalk.transport.netty.internal.EventLoopAwareNettyIoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests that a server crash with requests in flight is distinguished from a closed connection. */
final class ServerCrashTest {
    private static final int TIMEOUT_MILLIS = 20_000;

    private final EventLoopAwareNettyIoExecutor io = NettyIoExecutors.createIoExecutor(1, "io");
    private final EventLoops loops = ServiceTalkEventLoops.of(io);
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final ServerSocket server = listen();
    private final HttpPool pool = HttpPool.to(
            new Endpoint("127.0.0.1", server.getLocalPort()),
            loops,
            EventLoopTimerService.on(loops.group().next()),
            PoolSettings.standard());
    private final PooledUpstream pooled = PooledUpstream.over(pool, new PlainHttpDialect());
    private final HttpUpstream simple =
            HttpUpstream.to(new Endpoint("127.0.0.1", server.getLocalPort()), io, () -> events.add("absent"));

    @AfterEach
    void stop() throws IOException {
        pooled.close();
        simple.close();
        server.close();
        io.closeAsync().subscribe();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void reportsACrashWhenNothingListensAnyMore(boolean overPool) throws Exception {
        UpstreamPort upstream = overPool ? pooled : simple;
        send(upstream);
        send(upstream);
        try (Socket first = accept();
                Socket second = accept()) {
            server.close();
            reset(first);
            reset(second);
        }
        if (!overPool) {
            assertEquals("absent", nextEvent());
        }
        assertEquals("ended", nextEvent());
        assertEquals("ended", nextEvent());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void reportsABrokenExchangeWhenTheServerStillListens(boolean overPool) throws Exception {
        send(overPool ? pooled : simple);
        try (Socket connection = accept()) {
            reset(connection);
        }
        assertEquals("broken", nextEvent());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void notifiesTheListenerWhenAConnectionIsRefused(boolean overPool) throws Exception {
        pool.onConnectionRefused(() -> events.add("absent"));
        server.close();
        send(overPool ? pooled : simple);
        assertEquals("absent", nextEvent());
        assertEquals("unreachable", nextEvent());
    }

    private void send(UpstreamPort upstream) {
        Message.Content content = new Message.Content("GET", "/p", List.of(), new byte[0]);
        upstream.start(
                new UpstreamPort.HandOver(content, "t", new RequestId(1, 1), Importance.NORMAL, 1_000_000_000L),
                new RecordingListener());
    }

    private String nextEvent() throws InterruptedException {
        return String.valueOf(events.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** Accepts a connection and reads the first byte of its request. */
    private Socket accept() throws IOException {
        Socket connection = server.accept();
        connection.setSoTimeout(TIMEOUT_MILLIS);
        connection.getInputStream().read();
        return connection;
    }

    /** Closes a connection with unread bytes, which resets the connection, as the end of a process does. */
    private static void reset(Socket connection) throws IOException {
        connection.setSoLinger(true, 0);
        connection.close();
    }

    private static ServerSocket listen() {
        try {
            ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            socket.setSoTimeout(TIMEOUT_MILLIS);
            return socket;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Records how an exchange ends. */
    private final class RecordingListener implements UpstreamPort.Listener {
        @Override
        public void notRun() {
            events.add("not run");
        }

        @Override
        public void unreachable() {
            events.add("unreachable");
        }

        @Override
        public void head(int status, List<HeaderField> headers) {
            events.add("head");
        }

        @Override
        public void data(byte[] bytes) {
            events.add("data");
        }

        @Override
        public void end() {
            events.add("end");
        }

        @Override
        public void broken() {
            events.add("broken");
        }

        @Override
        public void upstreamCrashed() {
            events.add("ended");
        }
    }

    /** Maps calls to plain HTTP without any of the header fields of an upstream. */
    private static final class PlainHttpDialect implements UpstreamDialect {
        @Override
        public HttpRequestMessage request(UpstreamPort.HandOver handOver) {
            Message.Content c = handOver.content();
            return new HttpRequestMessage(c.method(), c.path(), c.headers(), c.body());
        }

        @Override
        public String correlationId(UpstreamPort.HandOver handOver) {
            return "";
        }

        @Override
        public boolean matches(UpstreamPort.HandOver handOver, List<HeaderField> fields) {
            return true;
        }

        @Override
        public AnswerKind classify(int status, List<HeaderField> fields) {
            return AnswerKind.ANSWER;
        }

        @Override
        public UpstreamNotice notice(List<HeaderField> fields) {
            return UpstreamNotice.NONE;
        }

        @Override
        public void onCallEnded(UpstreamPort.HandOver handOver) {
            // No state is kept for a call.
        }
    }
}
