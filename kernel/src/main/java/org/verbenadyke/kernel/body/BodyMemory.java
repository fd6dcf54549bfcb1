package org.verbenadyke.kernel.body;

import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.dispatch.RetryAfter;
import org.verbenadyke.kernel.route.RoutePlan;
import org.verbenadyke.kernel.time.TimerService;

/**
 * The memory of one node for request bodies: of the requests that enter at it, and of the calls that it holds for
 * the colocated upstream. Thread-safe.
 *
 * <p>The two kinds of bodies have separate budgets of the same size. With a common one, nodes whose memory is filled by
 * entering requests would refuse each other's calls, and none of those requests would end.
 */
public final class BodyMemory {
    /**
     * The default limit for each kind of bodies, in bytes. A body exists twice while it is passed on, as the request
     * and as the message to the next hop, so that both kinds together take at most 32 MB of an 80 MB heap. The copies
     * in the buffers of sockets take at most 16 MB of 32 MB direct memory.
     */
    public static final long DEFAULT_BYTES = 8L * 1024 * 1024;

    /** The largest body that a node accepts, in bytes: bodies are held whole, and frames between nodes hold 4 MB. */
    public static final int MAX_BODY_BYTES = 2 * 1024 * 1024;

    /** The smallest limit, in bytes: a body over the limit would wait for memory that never becomes available. */
    public static final long MIN_BYTES = MAX_BODY_BYTES;

    /**
     * The largest body that is not counted, in bytes: as much as the head of a request may take, which is not limited
     * either. Important requests with small bodies thus never wait behind uploads.
     */
    public static final int MAX_UNCOUNTED_BYTES = 16 * 1024;

    /**
     * The part of the tightest target latency for which a request may wait. The rest suffices for reading the body and
     * for the answer.
     */
    private static final long WAIT_DIVISOR = 8;

    /** The part of the tightest target latency after which a refused caller may retry: bodies are released by then. */
    private static final long RETRY_AFTER_DIVISOR = 4;

    /**
     * The target latency where no upload route has a positive one, in nanoseconds: callers that state no target wait
     * for seconds.
     */
    private static final long DEFAULT_TARGET_NANOS = 1_000_000_000L;

    /**
     * The smallest Retry-After delay before it is spread, in milliseconds. An upload holds its memory for some tens of
     * milliseconds, so that a caller that returns earlier would be refused again.
     */
    static final long MIN_RETRY_AFTER_MILLIS = 100;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final BodyBudget entering;
    private final BodyBudget calls;
    private final TimerService timers;
    private final Supplier<Optional<RoutePlan>> plan;
    private final Supplier<RandomGenerator> random;
    private final boolean limited;

    private BodyMemory(
            long limitBytes,
            TimerService timers,
            Supplier<Optional<RoutePlan>> plan,
            Supplier<RandomGenerator> random,
            boolean limited) {
        this.entering = BodyBudget.of(limitBytes);
        this.calls = BodyBudget.of(limitBytes);
        this.timers = timers;
        this.plan = plan;
        this.random = random;
        this.limited = limited;
    }

    /**
     * Creates the memory of a node.
     *
     * @param limitBytes the limit for each kind of bodies, in bytes
     * @param timers the clock and timers
     * @param plan supplies the route plan in force
     * @param random supplies the random generator of the current thread
     * @return the memory
     */
    public static BodyMemory of(
            long limitBytes,
            TimerService timers,
            Supplier<Optional<RoutePlan>> plan,
            Supplier<RandomGenerator> random) {
        return new BodyMemory(limitBytes, timers, plan, random, true);
    }

    /**
     * Creates the memory of a server whose callers send no large bodies, which counts none.
     *
     * @param timers the clock and timers
     * @return the memory
     */
    public static BodyMemory unlimited(TimerService timers) {
        Supplier<RandomGenerator> none = () -> {
            throw new IllegalStateException("no body is refused without a limit");
        };
        return new BodyMemory(DEFAULT_BYTES, timers, Optional::empty, none, false);
    }

    /**
     * Returns whether a body needs a reservation.
     *
     * @param bytes its size, in bytes
     * @return whether it does
     */
    public boolean counts(long bytes) {
        return limited && bytes > MAX_UNCOUNTED_BYTES;
    }

    /**
     * Reserves memory for the body of an entering request.
     *
     * @param bytes its size, or the most that it may have, in bytes; at most {@link #MAX_BODY_BYTES}
     * @param listener is notified of a reservation that has to wait, on any thread
     * @return the reservation; the body may be read once it is granted
     */
    public BodyReservation reserve(long bytes, Listener listener) {
        if (!counts(bytes)) {
            return BodyReservation.none();
        }
        BodyReservation reservation = entering.reserve(bytes, listener::granted);
        if (!reservation.granted()) {
            timers.after(targetNanos() / WAIT_DIVISOR, () -> {
                if (reservation.withdraw()) {
                    listener.refused();
                }
            });
        }
        return reservation;
    }

    /**
     * Reserves memory for the body of a call, without waiting.
     *
     * @param bytes its size, in bytes
     * @return the reservation, empty if the body does not fit
     */
    public Optional<BodyReservation> reserveCall(long bytes) {
        return counts(bytes) ? calls.tryReserve(bytes) : Optional.of(BodyReservation.none());
    }

    /**
     * Draws the Retry-After delay of a request that was refused for lack of memory.
     *
     * @return the delay, in milliseconds; positive, also when no bodies are counted any more
     */
    public long retryAfterMillis() {
        long millis = targetNanos() / RETRY_AFTER_DIVISOR / NANOS_PER_MILLI;
        return RetryAfter.spread(Math.max(MIN_RETRY_AFTER_MILLIS, millis), random.get());
    }

    /**
     * Returns the bytes reserved for the bodies of entering requests.
     *
     * @return the bytes
     */
    public long enteringBytes() {
        return entering.heldBytes();
    }

    /**
     * Returns the bytes reserved for the bodies of calls.
     *
     * @return the bytes
     */
    public long callBytes() {
        return calls.heldBytes();
    }

    /**
     * Returns the number of entering requests that wait for memory.
     *
     * @return the number
     */
    public int waiting() {
        return entering.waiting();
    }

    private long targetNanos() {
        Optional<RoutePlan> current = plan.get();
        return current.isPresent()
                ? current.get().tightestUploadTargetNanos().orElse(DEFAULT_TARGET_NANOS)
                : DEFAULT_TARGET_NANOS;
    }

    /**
     * Is notified of a reservation that had to wait. At most one of the methods is called, once.
     */
    public interface Listener {
        /** Called when the reservation is granted. */
        void granted();

        /** Called when the reservation waited for too long; it is withdrawn. */
        void refused();
    }
}
