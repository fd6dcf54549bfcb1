package org.verbenadyke.node.http1;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.node.time.EventLoopTimerService;
import org.verbenadyke.node.transport.EventLoops;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.EncoderException;
import io.netty.util.ReferenceCountUtil;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link ClientConnection} against a server that answers before it has read the body. */
final class ClientConnectionTest {
    private static final byte[] ANSWER =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /** More than the buffers of both sockets hold, so that the rest waits in the node. */
    private static final int BODY_BYTES = 64 * 1024 * 1024;

    /** More than the buffers of both sockets hold by default, and little enough for several at once. */
    private static final int MANY_BODY_BYTES = 16 * 1024 * 1024;

    private static final byte[] LONG_IDLE_ANSWER =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=999999\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII);

    private static final int TIMEOUT_MILLIS = 20_000;
    private static final long IDLE_NANOS = 500_000_000L;

    private final EventLoops loops = EventLoops.nio(1);
    private final ServerSocket server = listen();

    @AfterEach
    void stop() throws IOException {
        server.close();
        loops.group().shutdownGracefully();
    }

    /** Bytes of another request must not reach the server as part of the body, nor wait behind it. */
    @Test
    void sendsTheRestOfAnAnsweredRequestAndMeanwhileNoOtherOnTheConnection() throws Exception {
        HttpPool pool = pool(PoolSettings.standard().idleNanos());
        RecordedAnswer first = post(pool, new byte[BODY_BYTES]);
        try (Socket early = accept()) {
            readHead(early);
            early.getOutputStream().write(ANSWER);
            assertEquals("end", first.outcome());
            RecordedAnswer second = post(pool, new byte[1]);
            try (Socket other = accept()) {
                readHead(other);
                other.getOutputStream().write(ANSWER);
                assertEquals("end", second.outcome());
                assertArrayEquals(new byte[BODY_BYTES], early.getInputStream().readNBytes(BODY_BYTES));
                assertEquals(0, early.getInputStream().available());
                assertEquals(2, pool.size());
            }
        }
    }

    @Test
    void disconnectsAServerThatNeverReadsTheRest() throws Exception {
        HttpPool pool = pool(IDLE_NANOS);
        RecordedAnswer first = post(pool, new byte[BODY_BYTES]);
        try (Socket early = accept()) {
            readHead(early);
            early.getOutputStream().write(ANSWER);
            assertEquals("end", first.outcome());
            awaitSize(pool, 0);
        }
    }

    /** The rest of a body must not stay in memory for as long as the server names. */
    @Test
    void waitsForTheRestNoLongerThanThePoolKeepsAnIdleConnection() throws Exception {
        HttpPool pool = pool(IDLE_NANOS);
        RecordedAnswer first = post(pool, new byte[BODY_BYTES]);
        try (Socket early = accept()) {
            readHead(early);
            early.getOutputStream().write(LONG_IDLE_ANSWER);
            assertEquals("end", first.outcome());
            awaitSize(pool, 0);
        }
    }

    /** Bodies that a server never reads must not add up. */
    @Test
    void closesAtOnceWhenTooManyConnectionsHoldTheRestOfABody() throws Exception {
        HttpPool pool = pool(PoolSettings.standard().idleNanos() * 1_000);
        List<Socket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < HttpPool.MAX_UNREAD_REQUESTS + 2; i++) {
                RecordedAnswer outcome = post(pool, new byte[MANY_BODY_BYTES]);
                Socket early = accept();
                sockets.add(early);
                readHead(early);
                early.getOutputStream().write(ANSWER);
                assertEquals("end", outcome.outcome());
            }
            awaitSize(pool, HttpPool.MAX_UNREAD_REQUESTS);
            sockets.removeFirst().close();
            awaitSize(pool, HttpPool.MAX_UNREAD_REQUESTS - 1);
        } finally {
            for (Socket s : sockets) {
                s.close();
            }
        }
    }

    /** A write that fails without closing the connection must not leave the call waiting for its deadline. */
    @Test
    void endsTheCallAsBrokenWhenTheRequestCannotBeWritten() throws Exception {
        RecordedAnswer answer = RecordedAnswer.ofCall();
        HttpRequestMessage request = new HttpRequestMessage("POST", "/", List.of(), new byte[1]);
        ChannelOutboundHandlerAdapter failing = new ChannelOutboundHandlerAdapter() {
            @Override
            public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
                ReferenceCountUtil.release(message);
                promise.setFailure(new EncoderException("not encodable"));
            }
        };
        ClientCall call = new ClientCall(request, "", answer);
        EmbeddedChannel channel = new EmbeddedChannel(
                failing, new ClientConnection(pool(PoolSettings.standard().idleNanos()), call));
        channel.runPendingTasks();
        assertTrue(answer.ended());
        assertEquals("broken", answer.outcome());
        assertFalse(channel.isOpen());
    }

    private static void awaitSize(HttpPool pool, int size) throws InterruptedException {
        for (int i = 0; i < 200 && pool.size() != size; i++) {
            Thread.sleep(20);
        }
        assertEquals(size, pool.size());
    }

    private HttpPool pool(long idleNanos) {
        return HttpPool.to(
                new Endpoint("127.0.0.1", server.getLocalPort()),
                loops,
                EventLoopTimerService.on(loops.group().next()),
                new PoolSettings(TIMEOUT_MILLIS, idleNanos));
    }

    private static RecordedAnswer post(HttpPool pool, byte[] body) {
        RecordedAnswer answer = RecordedAnswer.ofCall();
        pool.send(new HttpRequestMessage("POST", "/", List.of(), body), answer);
        return answer;
    }

    private static String readHead(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        InputStream in = socket.getInputStream();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("closed after " + head);
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private Socket accept() throws IOException {
        Socket socket = server.accept();
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
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
}
