package org.verbenadyke.node.transport;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.trace.DecisionLog;
import org.verbenadyke.node.http1.HttpServer;
import org.verbenadyke.node.http1.ServerLimits;
import org.verbenadyke.node.time.EventLoopTimerService;

import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests that a node doesn't start on a port that another process has.
 *
 * <p>Whether a port was bound was read from the channel, which is closed on another thread after a failure: of 2,000
 * servers on a taken port, 1,058 were said to listen. A node then seemed to run and got nothing.
 */
final class TakenPortTest {
    private static final int TRIES = 200;
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private final EventLoops loops = EventLoops.nio(1);

    @AfterEach
    void stop() {
        loops.group().shutdownGracefully();
    }

    @Test
    void noHttpServerListensThere() throws IOException {
        EventLoopTimerService timers = EventLoopTimerService.on(loops.group().next());
        ServerLimits limits = new ServerLimits(8_192, 8_192, 1_000_000_000L);
        try (ServerSocket taken = new ServerSocket(0, 1, LOOPBACK)) {
            Endpoint at = new Endpoint("127.0.0.1", taken.getLocalPort());
            for (int i = 0; i < TRIES; i++) {
                assertThrows(
                        VerbenadykeException.class,
                        () -> HttpServer.listen(
                                at,
                                loops,
                                timers,
                                () -> limits,
                                exchange -> exchange.answer(200, List.of(), new byte[0])));
            }
        }
    }

    @Test
    void noNodeListensThere() throws IOException {
        NettyTransport transport = NettyTransport.on(loops, Counters.create());
        try (ServerSocket taken = new ServerSocket(0, 1, LOOPBACK)) {
            Endpoint at = new Endpoint("127.0.0.1", taken.getLocalPort());
            for (int i = 0; i < TRIES; i++) {
                assertThrows(VerbenadykeException.class, () -> transport.listen(at, () -> null));
            }
        }
    }

    @Test
    void noDatagramsAreHeardThere() throws IOException {
        try (DatagramSocket taken = new DatagramSocket(0, LOOPBACK)) {
            Endpoint at = new Endpoint("127.0.0.1", taken.getLocalPort());
            for (int i = 0; i < TRIES; i++) {
                assertThrows(
                        VerbenadykeException.class,
                        () -> UdpPort.listen(at, loops, Counters.create(), DecisionLog.none(), (from, m) -> {}));
            }
        }
    }
}
