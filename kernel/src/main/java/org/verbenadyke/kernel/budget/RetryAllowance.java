package org.verbenadyke.kernel.budget;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.cost.CallCounts;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Limits the retries of all requests that enter at this node, at any depth of their chains, by the requests that
 * callers sent here for the services that the retries reach. Every retry that may reach an upstream once more is
 * charged here before it is made, with all calls that its run makes again. Thread-safe.
 *
 * <p>A node seldom has whole retries left that reach a service many times. It then grants the part of them that it can
 * pay for, beginning at a random one, so that the nodes of a large fleet together grant what they may.
 */
public final class RetryAllowance {
    /** The part of what may be saved up that is kept for each higher importance. */
    private static final double RESERVED_PART = 0.1;

    private final AllowanceSettings settings;
    private final TimerService timers;
    private final Supplier<RandomGenerator> random;
    private final IntSupplier nodes;
    private final Map<String, ServiceAllowance> services = new HashMap<>();

    private RetryAllowance(
            AllowanceSettings settings, TimerService timers, Supplier<RandomGenerator> random, IntSupplier nodes) {
        this.settings = settings;
        this.timers = timers;
        this.random = random;
        this.nodes = nodes;
    }

    /**
     * Creates an allowance without any savings.
     *
     * @param settings how many retries all nodes may make
     * @param timers the clock
     * @param random supplies the random generator of the current thread
     * @param nodes supplies the number of nodes that share the slack
     * @return the allowance
     */
    public static RetryAllowance create(
            AllowanceSettings settings, TimerService timers, Supplier<RandomGenerator> random, IntSupplier nodes) {
        return new RetryAllowance(settings, timers, random, nodes);
    }

    /**
     * Records a request that a caller sent for a service.
     *
     * @param service the service
     */
    public void requested(String service) {
        if (settings.limited()) {
            long now = timers.nanos();
            synchronized (this) {
                allowance(service, now).requested(now);
            }
        }
    }

    /**
     * Charges a retry.
     *
     * @param calls the calls that the retry would make at each service; none if it reaches no upstream again
     * @param importance the importance of the request
     * @return whether the retry may be made, and the service that left least
     */
    public Charge charge(CallCounts calls, Importance importance) {
        if (!settings.limited() || calls.isEmpty()) {
            return Charge.FREE;
        }
        long now = timers.nanos();
        int sharing = nodes.getAsInt();
        synchronized (this) {
            return charge(calls.services(), importance, sharing, now);
        }
    }

    private Charge charge(List<CallCounts.ServiceCalls> calls, Importance importance, int sharing, long now) {
        double chance = 1;
        Charge scarcest = Charge.FREE;
        for (CallCounts.ServiceCalls wanted : calls) {
            ServiceAllowance allowance = allowance(wanted.service(), now);
            allowance.shareAmong(sharing, now);
            double left = allowance.level() - reserved(importance) * allowance.saveable();
            double share = left / wanted.calls();
            if (share < chance || scarcest == Charge.FREE) {
                chance = Math.min(chance, share);
                scarcest = new Charge(false, wanted.service(), wanted.calls(), left);
            }
        }
        double paid = Math.max(0, chance);
        boolean granted = paid == 1
                || paid > 0
                        && allowance(scarcest.service(), now)
                                .grantsPart(scarcest.calls(), paid, random.get()::nextDouble);
        for (CallCounts.ServiceCalls wanted : calls) {
            ServiceAllowance allowance = allowance(wanted.service(), now);
            allowance.take(paid * wanted.calls());
            allowance.decided(granted, wanted.calls());
        }
        return scarcest.granted(granted);
    }

    /**
     * Returns what is left for each service that callers have sent requests for or that a retry would have reached.
     *
     * @return the services, in no particular order
     */
    public synchronized List<Status> status() {
        return services.entrySet().stream()
                .map(e -> e.getValue().status(e.getKey()))
                .toList();
    }

    private ServiceAllowance allowance(String service, long now) {
        return services.computeIfAbsent(service, s -> ServiceAllowance.startingAt(now, settings));
    }

    private static double reserved(Importance importance) {
        return RESERVED_PART * (Importance.values().length - 1 - importance.ordinal());
    }

    /**
     * What is left for a service.
     *
     * @param service the service
     * @param left the repetitions that are left
     * @param saveable the most that may be saved up
     * @param granted the repetitions that were granted since the start
     * @param denied the repetitions that were denied since the start
     */
    public record Status(String service, double left, double saveable, long granted, long denied) {}

    /**
     * The decision about a retry.
     *
     * @param granted whether it may be made
     * @param service the service that has least left for the retry, empty if no limit applies
     * @param calls the calls that the retry would make at this service
     * @param left the repetitions of this service that were left for the retry's importance, before it was charged
     */
    public record Charge(boolean granted, String service, int calls, double left) {
        /** No limit applies. */
        static final Charge FREE = new Charge(true, "", 0, 0);

        private Charge granted(boolean isGranted) {
            return new Charge(isGranted, service, calls, left);
        }
    }
}
