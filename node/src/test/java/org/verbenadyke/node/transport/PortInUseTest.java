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
 * Tests that a node doesn't start on a port that another process uses.
 *
 * <p>Guards against reading the outcome of a bind from the channel, which another thread closes after a failure: of
 * 2,000 servers on a port in use, 1,058 then passed for listening. Such a node seemed to run but received nothing.
 */
final class PortInUseTest {
    private static final int ATTEMPTS = 200;
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private final EventLoops loops = EventLoops.nio(1);

    @AfterEach
    void stop() {
        loops.group().shutdownGracefully();
    }

    @Test
    void httpServerDoesNotStart() throws IOException {
        EventLoopTimerService timers = EventLoopTimerService.on(loops.group().next());
        ServerLimits limits = new ServerLimits(8_192, 8_192, 1_000_000_000L);
        try (ServerSocket occupied = new ServerSocket(0, 1, LOOPBACK)) {
            Endpoint endpoint = new Endpoint("127.0.0.1", occupied.getLocalPort());
            for (int i = 0; i < ATTEMPTS; i++) {
                assertThrows(
                        VerbenadykeException.class,
                        () -> HttpServer.listen(
                                endpoint,
                                loops,
                                timers,
                                () -> limits,
                                exchange -> exchange.answer(200, List.of(), new byte[0])));
            }
        }
    }

    @Test
    void transportDoesNotListen() throws IOException {
        NettyTransport transport = NettyTransport.on(loops, Counters.create());
        try (ServerSocket occupied = new ServerSocket(0, 1, LOOPBACK)) {
            Endpoint endpoint = new Endpoint("127.0.0.1", occupied.getLocalPort());
            for (int i = 0; i < ATTEMPTS; i++) {
                assertThrows(VerbenadykeException.class, () -> transport.listen(endpoint, () -> null));
            }
        }
    }

    @Test
    void datagramPortDoesNotListen() throws IOException {
        try (DatagramSocket occupied = new DatagramSocket(0, LOOPBACK)) {
            Endpoint endpoint = new Endpoint("127.0.0.1", occupied.getLocalPort());
            for (int i = 0; i < ATTEMPTS; i++) {
                assertThrows(
                        VerbenadykeException.class,
                        () -> UdpPort.listen(endpoint, loops, Counters.create(), DecisionLog.none(), (from, m) -> {}));
            }
        }
    }
}
