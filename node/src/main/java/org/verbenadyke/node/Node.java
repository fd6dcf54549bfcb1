package org.verbenadyke.node;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.verbenadyke.kernel.core.CoreParts;
import org.verbenadyke.kernel.core.CoreSettings;
import org.verbenadyke.kernel.core.NodeCore;
import org.verbenadyke.kernel.engine.Engine;
import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.ledger.Breach;
import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.log.LogService;
import org.verbenadyke.kernel.membership.GossipMessage;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.route.RoutePlanStore;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.node.control.ControlService;
import org.verbenadyke.node.control.LocalService;
import org.verbenadyke.node.http.RequestService;
import org.verbenadyke.node.log.HttpLogService;
import org.verbenadyke.node.log.UnconfiguredLogService;
import org.verbenadyke.node.settings.NodeSettings;
import org.verbenadyke.node.time.WheelTimerService;
import org.verbenadyke.node.trace.DecisionLogger;
import org.verbenadyke.node.transport.NettyTransport;
import org.verbenadyke.node.transport.ServiceTalkEventLoops;
import org.verbenadyke.node.transport.UdpPort;
import org.verbenadyke.wire.ConfigCodec;
import org.verbenadyke.wire.MemberCodec;
import org.verbenadyke.wire.NodeDeparturesCodec;
import org.verbenadyke.wire.QuarantinedRequestCodec;

import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.netty.internal.EventLoopAwareNettyIoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;

/**
 * One running node: the decision logic connected to sockets, timers and the log.
 */
public final class Node {
    private static final Logger LOG = LogManager.getLogger("node");
    private static final int INCARNATION_SHIFT = 20;
    private static final long INCARNATION_MASK = (1L << INCARNATION_SHIFT) - 1;
    private static final Duration SERVER_CLOSE_TIMEOUT = Duration.ofSeconds(5);
    private static final long POLL_MILLIS = 20;
    private static final long LEAVE_SPREAD_MILLIS = 300;

    private final NodeSettings settings;
    private final Counters counters = Counters.create();
    private final WheelTimerService timers = WheelTimerService.start();
    private final EventLoopAwareNettyIoExecutor io;
    private final NettyTransport transport;
    private final Ledger ledger;
    private final UdpPort datagrams;
    private volatile NodeCore core;
    private HttpServerContext entry;
    private HttpServerContext local;
    private HttpServerContext control;
    private AutoCloseable peers;

    private Node(NodeSettings settings) {
        this.settings = settings;
        this.io = NettyIoExecutors.createIoExecutor(settings.ioThreads(), "io");
        this.transport = NettyTransport.on(ServiceTalkEventLoops.of(io), counters);
        this.ledger = settings.ledger() ? Ledger.reportingTo(this::onBreach) : Ledger.disabled();
        long incarnation = timers.wallMillis() << INCARNATION_SHIFT | new SecureRandom().nextLong() & INCARNATION_MASK;
        LogService log = settings.logs()
                .<LogService>map(a -> HttpLogService.at(a, io))
                .orElseGet(UnconfiguredLogService::create);
        DecisionLogger decisions = DecisionLogger.on(timers);
        this.datagrams =
                UdpPort.listen(settings.peers(), ServiceTalkEventLoops.of(io), counters, decisions, this::onDatagram);
        MemberRecord self = new MemberRecord(
                settings.id(),
                incarnation,
                0,
                MemberState.ALIVE,
                settings.peers(),
                settings.control(),
                settings.location(),
                "",
                timers.wallMillis(),
                0);
        CoreParts parts = new CoreParts(
                self,
                settings.seeds(),
                timers,
                transport,
                datagrams,
                log,
                MemberCodec.create(),
                QuarantinedRequestCodec.create(),
                NodeDeparturesCodec.create(),
                ConfigCodec.create(),
                ThreadLocalRandom::current,
                RoutePlanStore.disabled(),
                counters,
                ledger,
                decisions);
        this.core = NodeCore.start(parts, CoreSettings.with(settings.policy()));
    }

    /**
     * Starts a node, which serves requests when the method returns.
     *
     * @param settings the node's settings
     * @return the node
     * @throws VerbenadykeException with {@link ErrorCode#PORT_IN_USE}
     */
    public static Node start(NodeSettings settings) {
        Node node = new Node(settings);
        node.listen();
        LOG.info("Node {} started in {}.", settings.id(), settings.location().dataCentre());
        return node;
    }

    /**
     * Stops gracefully: refuses new work, waits for work in flight to finish, and gossips that the node leaves.
     *
     * @param timeout how long to wait for work in flight
     */
    public void stop(Duration timeout) {
        LOG.info("Node {} is stopping.", settings.id());
        core.beginShutdown(timers.nanos() + timeout.toNanos());
        awaitIdle(timeout);
        core.leave();
        sleep(LEAVE_SPREAD_MILLIS);
        closeQuietly(entry);
        closeQuietly(local);
        core.stop();
        closeQuietly(peers);
        closeQuietly(datagrams);
        closeQuietly(control);
        io.closeAsync().toFuture();
        timers.close();
        LOG.info("Node {} stopped.", settings.id());
    }

    /**
     * Returns the decision logic.
     *
     * @return the logic
     */
    public NodeCore core() {
        return core;
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
        Engine engine = core.engine();
        peers = transport.listen(settings.peers(), engine::accept);
        entry = serve(settings.entry(), RequestService.forCallers(engine, counters));
        StreamingHttpService calls = RequestService.forUpstream(engine, counters);
        local = serve(settings.local(), LocalService.of(calls, core, io));
        control = serve(settings.control(), ControlService.of(settings, core, counters));
    }

    private void onDatagram(Endpoint from, GossipMessage message) {
        NodeCore c = core;
        if (c != null) {
            c.received(from, message);
        }
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

    private void awaitIdle(Duration timeout) {
        long deadline = timers.nanos() + timeout.toNanos();
        while (timers.nanos() < deadline && hasWorkInFlight()) {
            sleep(POLL_MILLIS);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean hasWorkInFlight() {
        return core.engine().server().unfinished() > 0
                || core.engine().dispatcher().inFlight() > 0;
    }

    private void onBreach(Breach breach) {
        counters.count(Event.INVARIANT_BREACHED);
        LOG.error(
                "{} {}: {}.",
                VerbenadykeException.describe(ErrorCode.INVARIANT_BREACHED, breach.invariant()),
                breach.subject(),
                breach.history());
    }

    private static void closeQuietly(HttpServerContext server) {
        server.closeAsyncGracefully()
                .timeout(SERVER_CLOSE_TIMEOUT)
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
