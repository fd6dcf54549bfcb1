package org.verbenadyke.node;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.verbenadyke.kernel.engine.Engine;
import org.verbenadyke.kernel.engine.EngineParts;
import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.ledger.Breach;
import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.serve.KeyClaims;
import org.verbenadyke.node.control.ControlService;
import org.verbenadyke.node.control.LocalService;
import org.verbenadyke.node.http.RequestService;
import org.verbenadyke.node.log.HttpLog;
import org.verbenadyke.node.settings.NodeSettings;
import org.verbenadyke.node.time.WheelTimerService;
import org.verbenadyke.node.transport.NettyTransport;

import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.netty.internal.EventLoopAwareNettyIoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;

/**
 * One running node: the decision logic wired to sockets, timers and the log.
 */
public final class Node {
    private static final Logger LOG = LogManager.getLogger("node");
    private static final int INCARNATION_SHIFT = 20;
    private static final long INCARNATION_MASK = (1L << INCARNATION_SHIFT) - 1;
    private static final Duration SERVER_CLOSE_MOST = Duration.ofSeconds(5);
    private static final long POLL_MILLIS = 20;

    private final NodeSettings settings;
    private final Counters counters = Counters.create();
    private final WheelTimerService timers = WheelTimerService.start();
    private final EventLoopAwareNettyIoExecutor io;
    private final NettyTransport transport;
    private final Ledger ledger;
    private final Engine engine;
    private final Membership membership;
    private HttpServerContext entry;
    private HttpServerContext local;
    private HttpServerContext control;
    private AutoCloseable peers;

    private Node(NodeSettings settings) {
        this.settings = settings;
        this.io = NettyIoExecutors.createIoExecutor(settings.ioThreads(), "io");
        this.transport = NettyTransport.on(io, counters);
        this.ledger = settings.ledger() ? Ledger.watching(this::breached) : Ledger.off();
        long incarnation = timers.wallMillis() << INCARNATION_SHIFT | new SecureRandom().nextLong() & INCARNATION_MASK;
        EngineParts parts = new EngineParts(
                settings.id(),
                incarnation,
                settings.place(),
                timers,
                transport,
                ThreadLocalRandom::current,
                counters,
                ledger,
                KeyClaims.alone(),
                (link, news) -> counters.count(Event.MESSAGE_UNMATCHED));
        this.engine = Engine.create(parts, settings.policy());
        Optional<HttpLog> log = settings.logs().map(a -> HttpLog.at(a, io));
        this.membership = Membership.create(settings, incarnation, engine, timers, counters, log);
    }

    /**
     * Starts a node; it serves when this returns.
     *
     * @param settings its settings
     * @return the node
     * @throws VerbenadykeException with {@link ErrorCode#PORT_IN_USE}
     */
    public static Node start(NodeSettings settings) {
        Node node = new Node(settings);
        node.listen();
        node.membership.start();
        LOG.info("Node {} started in {}.", settings.id(), settings.place().dataCentre());
        return node;
    }

    /**
     * Stops gracefully: new work is refused, what is in flight ends, the news of leaving is spread.
     *
     * @param most how long to wait for work in flight
     */
    public void stop(Duration most) {
        LOG.info("Node {} is stopping.", settings.id());
        engine.server().upstream().ifPresent(u -> u.drain(true));
        membership.leave();
        awaitIdle(most);
        closeQuietly(entry);
        closeQuietly(local);
        engine.links().closeAll();
        closeQuietly(peers);
        closeQuietly(control);
        io.closeAsync().toFuture();
        timers.close();
        LOG.info("Node {} stopped.", settings.id());
    }

    /**
     * Returns the request path.
     *
     * @return the engine
     */
    public Engine engine() {
        return engine;
    }

    /**
     * Returns the counters.
     *
     * @return the counters
     */
    public Counters counters() {
        return counters;
    }

    private void listen() {
        peers = transport.listen(settings.peers(), engine::accept);
        entry = serve(settings.entry(), RequestService.forCallers(engine, counters));
        StreamingHttpService calls = RequestService.forUpstream(engine, counters);
        local = serve(settings.local(), LocalService.of(calls, membership, io));
        control = serve(settings.control(), ControlService.of(settings, engine, counters, membership));
    }

    private HttpServerContext serve(Endpoint endpoint, StreamingHttpService service) {
        try {
            return HttpServers.forAddress(new InetSocketAddress(endpoint.host(), endpoint.port()))
                    .ioExecutor(io)
                    .executionStrategy(HttpExecutionStrategies.offloadNone())
                    .listenStreamingAndAwait(service);
        } catch (Exception e) {
            throw VerbenadykeException.of(ErrorCode.PORT_IN_USE, endpoint, e.getMessage());
        }
    }

    private void awaitIdle(Duration most) {
        long end = timers.nanos() + most.toNanos();
        while (timers.nanos() < end && busy()) {
            try {
                Thread.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private boolean busy() {
        return engine.server().unfinished() > 0 || engine.dispatcher().underWay() > 0;
    }

    private void breached(Breach breach) {
        counters.count(Event.INVARIANT_BREACHED);
        LOG.error(
                "{} {}: {}.",
                VerbenadykeException.describe(ErrorCode.INVARIANT_BREACHED, breach.promise()),
                breach.subject(),
                breach.history());
    }

    private static void closeQuietly(HttpServerContext server) {
        server.closeAsyncGracefully()
                .timeout(SERVER_CLOSE_MOST)
                .onErrorComplete()
                .toFuture();
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            LOG.warn("Closing failed: {}.", e.getMessage());
        }
    }
}
