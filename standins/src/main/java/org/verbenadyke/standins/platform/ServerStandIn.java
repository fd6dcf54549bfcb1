package org.verbenadyke.standins.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.TimerService;
import org.verbenadyke.node.http1.HttpExchange;
import org.verbenadyke.node.http1.HttpRequestMessage;
import org.verbenadyke.node.http1.HttpServer;
import org.verbenadyke.node.http1.ServerLimits;
import org.verbenadyke.node.transport.EventLoops;

/**
 * A stand-in of one of the platform's servers. It signs its answers, counts how often each request ran, and misbehaves
 * as the path asks.
 */
public final class ServerStandIn implements AutoCloseable {
    /** A path that is answered as usual. */
    public static final String FINE = "fine";

    /** A path whose answer breaks off. */
    public static final String TRUNCATED = "truncated";

    /** A path whose answer comes without a signature. */
    public static final String UNSIGNED = "unsigned";

    /** A path that the server says it did not run. */
    public static final String SHED = "shed";

    /** A path that is answered after {@link #SLOW_NANOS}. */
    public static final String SLOW = "slow";

    /** A path that is refused once and then answered. */
    public static final String SHED_ONCE = "once-shed";

    /** How long a slow answer takes, in nanoseconds. */
    public static final long SLOW_NANOS = 400_000_000L;

    private static final ServerLimits LIMITS = new ServerLimits(16 * 1024, 4 * 1024 * 1024, 60_000_000_000L);
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int OTHER_SERVER = 421;
    private static final byte[] NOTHING = {};

    private final String id;
    private final TimerService timers;
    private final long bornMillis;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, Boolean> refused = new ConcurrentHashMap<>();
    private volatile Optional<HttpRequestMessage> last = Optional.empty();
    private HttpServer server;

    private ServerStandIn(String id, TimerService timers) {
        this.id = id;
        this.timers = timers;
        this.bornMillis = timers.wallMillis();
    }

    /**
     * Starts a server.
     *
     * @param id its id
     * @param endpoint where it listens
     * @param loops the threads that serve it
     * @param timers the time
     * @return the server
     */
    public static ServerStandIn listen(String id, Endpoint endpoint, EventLoops loops, TimerService timers) {
        ServerStandIn standIn = new ServerStandIn(id, timers);
        standIn.server = HttpServer.listen(endpoint, loops, timers, () -> LIMITS, standIn::handle);
        return standIn;
    }

    /**
     * Returns when the server started.
     *
     * @return the time in milliseconds since the epoch
     */
    public long bornMillis() {
        return bornMillis;
    }

    /**
     * Returns how often a request ran.
     *
     * @param requestId its id
     * @return how often
     */
    public int runs(String requestId) {
        return Optional.ofNullable(runs.get(requestId)).map(AtomicInteger::get).orElse(0);
    }

    /**
     * Returns the request that came last.
     *
     * @return the request, empty before the first
     */
    public Optional<HttpRequestMessage> last() {
        return last;
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(HttpExchange exchange) {
        HttpRequestMessage request = exchange.request();
        last = Optional.of(request);
        String requestId = request.field("x-request-id").orElse("");
        HeaderField named = new HeaderField("x-request-id", requestId);
        if (!request.field("x-expected-instance").orElse(id).equals(id)) {
            exchange.answer(OTHER_SERVER, List.of(named, new HeaderField("x-instance-id", id)), NOTHING);
            return;
        }
        String word = request.target().substring(request.target().lastIndexOf('/') + 1);
        if (word.equals(SHED) || word.equals(SHED_ONCE) && refused.putIfAbsent(requestId, true) == null) {
            exchange.answer(UNAVAILABLE, List.of(named, new HeaderField("x-not-executed", "1")), NOTHING);
            return;
        }
        runs.computeIfAbsent(requestId, r -> new AtomicInteger()).incrementAndGet();
        if (word.equals(SLOW)) {
            timers.after(SLOW_NANOS, () -> answer(exchange, requestId, word));
            return;
        }
        answer(exchange, requestId, word);
    }

    private static void answer(HttpExchange exchange, String requestId, String word) {
        byte[] body = ("answer to " + requestId).getBytes(StandardCharsets.UTF_8);
        HeaderField named = new HeaderField("x-request-id", requestId);
        HeaderField signed = new HeaderField("x-server-signature", "signed");
        switch (word) {
            case TRUNCATED -> {
                exchange.head(OK, List.of(named, signed, new HeaderField("content-length", "1000")));
                exchange.data(body);
                exchange.abort();
            }
            case UNSIGNED -> exchange.answer(OK, List.of(named), body);
            default -> exchange.answer(OK, List.of(named, signed), body);
        }
    }
}
