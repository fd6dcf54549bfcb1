package org.verbenadyke.standins.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.TimerService;
import org.verbenadyke.node.http1.HttpExchange;
import org.verbenadyke.node.http1.HttpRequestMessage;
import org.verbenadyke.node.http1.HttpServer;
import org.verbenadyke.node.http1.ServerLimits;
import org.verbenadyke.node.transport.EventLoops;

/**
 * Stand-in for one of the platform's servers. Signs the answers, counts how often each request ran, and injects the
 * fault that the last path segment names.
 */
public final class ServerStandIn implements AutoCloseable {
    /** Path segment for a normal answer. */
    public static final String FINE = "fine";

    /** Path segment for an answer whose connection is aborted in the middle of the body. */
    public static final String TRUNCATED = "truncated";

    /** Path segment for an answer without a signature. */
    public static final String UNSIGNED = "unsigned";

    /** Path segment for a refusal that declares the request as not executed. */
    public static final String SHED = "shed";

    /** Path segment for an answer that is delayed by {@link #SLOW_NANOS}. */
    public static final String SLOW = "slow";

    /** Path segment for an answer that is held until {@link #answerHeld}. */
    public static final String HELD = "held";

    /** Path segment for a request that is refused on the first attempt and answered on later ones. */
    public static final String SHED_ONCE = "once-shed";

    /** Path segment for an answer of {@link #LONG_BYTES}, handed over at once. */
    public static final String LONG = "long";

    /** Size of a long answer, many times what a node holds of one, in bytes. */
    public static final int LONG_BYTES = 4 * 1024 * 1024;

    /** Delay of a slow answer, in nanoseconds. */
    public static final long SLOW_NANOS = 400_000_000L;

    private static final ServerLimits LIMITS = new ServerLimits(16 * 1024, 4 * 1024 * 1024, 60_000_000_000L);
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int MISDIRECTED_REQUEST = 421;
    private static final byte[] EMPTY_BODY = {};

    private final String id;
    private final TimerService timers;
    private final long startedMillis;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, Boolean> refusedOnce = new ConcurrentHashMap<>();
    private final Queue<Runnable> heldAnswers = new ConcurrentLinkedQueue<>();
    private volatile Optional<HttpRequestMessage> lastRequest = Optional.empty();
    private volatile List<HeaderField> notices = List.of();
    private volatile Consumer<String> arrivalListener = requestId -> {};
    private HttpServer server;

    private ServerStandIn(String id, TimerService timers) {
        this.id = id;
        this.timers = timers;
        this.startedMillis = timers.wallMillis();
    }

    /**
     * Starts a server.
     *
     * @param id the server's id
     * @param endpoint the address to listen on
     * @param loops the event loops that serve the connections
     * @param timers the clock and timers
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
    public long startedMillis() {
        return startedMillis;
    }

    /**
     * Returns how often a request ran.
     *
     * @param requestId the request's id
     * @return the number of executions
     */
    public int runs(String requestId) {
        return Optional.ofNullable(runs.get(requestId)).map(AtomicInteger::get).orElse(0);
    }

    /**
     * Returns the request that was received last.
     *
     * @return the request, empty before the first one
     */
    public Optional<HttpRequestMessage> last() {
        return lastRequest;
    }

    /**
     * Names a rate limit in all answers from now on.
     *
     * @param limit the value of the header field; any text, so that invalid ones can be sent too
     */
    public void nameRateLimit(String limit) {
        notices = List.of(new HeaderField("server-limit", limit));
    }

    /** States in all answers from now on that the server is leaving. */
    public void nameLeaving() {
        notices = List.of(new HeaderField("server-leaving", "1"));
    }

    /** States nothing in answers any more. */
    public void nameNothing() {
        notices = List.of();
    }

    /**
     * Subscribes to the requests that the server begins to run.
     *
     * @param listener called with the id of each request
     */
    public void onArrival(Consumer<String> listener) {
        arrivalListener = listener;
    }

    /** Sends all answers that are held. */
    public void answerHeld() {
        for (Runnable answer = heldAnswers.poll(); answer != null; answer = heldAnswers.poll()) {
            answer.run();
        }
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(HttpExchange exchange) {
        HttpRequestMessage request = exchange.request();
        lastRequest = Optional.of(request);
        String requestId = request.field("x-request-id").orElse("");
        HeaderField requestIdField = new HeaderField("x-request-id", requestId);
        if (!request.field("x-expected-instance").orElse(id).equals(id)) {
            exchange.answer(
                    MISDIRECTED_REQUEST, List.of(requestIdField, new HeaderField("x-instance-id", id)), EMPTY_BODY);
            return;
        }
        String lastSegment = request.target().substring(request.target().lastIndexOf('/') + 1);
        if (lastSegment.equals(SHED)
                || lastSegment.equals(SHED_ONCE) && refusedOnce.putIfAbsent(requestId, true) == null) {
            exchange.answer(
                    UNAVAILABLE, withNotices(requestIdField, new HeaderField("x-not-executed", "1")), EMPTY_BODY);
            return;
        }
        runs.computeIfAbsent(requestId, r -> new AtomicInteger()).incrementAndGet();
        arrivalListener.accept(requestId);
        if (lastSegment.equals(HELD)) {
            heldAnswers.add(() -> answer(exchange, requestId, lastSegment));
            return;
        }
        if (lastSegment.equals(SLOW)) {
            timers.after(SLOW_NANOS, () -> answer(exchange, requestId, lastSegment));
            return;
        }
        answer(exchange, requestId, lastSegment);
    }

    private void answer(HttpExchange exchange, String requestId, String lastSegment) {
        byte[] body = ("answer to " + requestId).getBytes(StandardCharsets.UTF_8);
        HeaderField requestIdField = new HeaderField("x-request-id", requestId);
        HeaderField signatureField = new HeaderField("x-server-signature", "signed");
        switch (lastSegment) {
            case TRUNCATED -> {
                exchange.head(OK, List.of(requestIdField, signatureField, new HeaderField("content-length", "1000")));
                exchange.data(body);
                exchange.abort();
            }
            case LONG -> exchange.answer(OK, withNotices(requestIdField, signatureField), longBody());
            case UNSIGNED -> exchange.answer(OK, List.of(requestIdField), body);
            default ->
                exchange.answer(
                        OK, withNotices(requestIdField, signatureField, new HeaderField("x-instance-id", id)), body);
        }
    }

    /**
     * Returns the body of a long answer.
     *
     * @return bytes that differ from place to place
     */
    public static byte[] longBody() {
        byte[] body = new byte[LONG_BYTES];
        new Random(LONG_BYTES).nextBytes(body);
        return body;
    }

    private List<HeaderField> withNotices(HeaderField... fields) {
        return Stream.concat(Stream.of(fields), notices.stream()).toList();
    }
}
