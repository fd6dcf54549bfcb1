package org.verbenadyke.kernel.route;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.team.Team;

/**
 * Holds the route plan in force. A plan is only ever replaced by one with a higher version, whether that comes from the
 * operators' store or from another node. An unusable document leaves the current plan in force. Thread-safe.
 */
public final class RoutePlanStore {
    /** The version before the first plan. */
    public static final long NO_VERSION = -1;

    private final RoutePlanReader reader;
    private final Counters counters;
    private final Listener listener;
    private final AtomicReference<Current> current = new AtomicReference<>();

    private RoutePlanStore(RoutePlanReader reader, Counters counters, Listener listener) {
        this.reader = reader;
        this.counters = counters;
        this.listener = listener;
    }

    /**
     * Creates a store without a plan.
     *
     * @param reader reads documents
     * @param counters counts plans that were applied and rejected
     * @param listener is notified of plans that were applied and rejected
     * @return the store
     */
    public static RoutePlanStore create(RoutePlanReader reader, Counters counters, Listener listener) {
        return new RoutePlanStore(reader, counters, listener);
    }

    /**
     * Creates a store for nodes that have no route plan; it rejects every document.
     *
     * @return the store
     */
    public static RoutePlanStore disabled() {
        return new RoutePlanStore(
                document -> {
                    throw unreadable("this node has no route plan");
                },
                Counters.create(),
                new Listener() {
                    @Override
                    public void applied(RoutePlan plan, long before, String source) {
                        // No document is ever applied.
                    }

                    @Override
                    public void rejected(String source, List<String> problems) {
                        // The document came from a peer of a fleet with route plans; it does not concern this node.
                    }
                });
    }

    /**
     * Returns the plan in force.
     *
     * @return the plan, empty before the first
     */
    public Optional<RoutePlan> plan() {
        return Optional.ofNullable(current.get()).map(Current::plan);
    }

    /**
     * Finds a team of the plan in force.
     *
     * @param name its name
     * @return the team, empty if the plan has no team of that name
     */
    public Optional<Team> team(String name) {
        return plan().flatMap(RoutePlan::teams).flatMap(t -> t.named(name));
    }

    /**
     * Returns the document of the plan in force, without secrets.
     *
     * @return the document, empty before the first
     */
    public Optional<RoutePlanDocument> document() {
        return Optional.ofNullable(current.get())
                .map(h -> new RoutePlanDocument(h.plan().version(), h.bytes()));
    }

    /**
     * Returns the version in force.
     *
     * @return the version, {@link #NO_VERSION} before the first
     */
    public long version() {
        Current h = current.get();
        return h == null ? NO_VERSION : h.plan().version();
    }

    /**
     * Applies a document if it is valid and its version is higher than the one in force.
     *
     * @param bytes the document
     * @param source the origin of the document, for the log
     */
    public void offer(byte[] bytes, String source) {
        RoutePlan plan;
        try {
            plan = reader.read(bytes);
        } catch (VerbenadykeException e) {
            reject(source, List.of(e.getMessage()));
            return;
        }
        List<String> problems = RoutePlanCheck.problems(plan);
        if (!problems.isEmpty()) {
            reject(source, problems);
            return;
        }
        if (plan.version() <= version()) {
            return;
        }
        Current next = new Current(plan, reader.withoutSecrets(bytes));
        Current before = current.getAndUpdate(h -> h == null || h.plan().version() < plan.version() ? next : h);
        if (current.get() == next && before != next) {
            counters.count(Event.CONFIG_APPLIED);
            listener.applied(plan, before == null ? NO_VERSION : before.plan().version(), source);
        }
    }

    private void reject(String source, List<String> problems) {
        counters.count(Event.CONFIG_REJECTED);
        listener.rejected(source, problems);
    }

    /**
     * Returns an error for a document that can't be read.
     *
     * @param what what is wrong with the document
     * @return the error
     */
    public static VerbenadykeException unreadable(String what) {
        return VerbenadykeException.of(ErrorCode.PLAN_UNREADABLE, what);
    }

    /**
     * Is notified of plans that were applied and documents that were rejected.
     */
    public interface Listener {
        /**
         * Called when a plan came into force.
         *
         * @param plan the plan
         * @param before the version it replaced, {@link #NO_VERSION} if it is the first
         * @param source the origin of the document
         */
        void applied(RoutePlan plan, long before, String source);

        /**
         * Called when a document was rejected.
         *
         * @param source the origin of the document
         * @param problems a sentence for each problem
         */
        void rejected(String source, List<String> problems);
    }

    /**
     * A plan with its document.
     *
     * @param plan the plan
     * @param bytes the document
     */
    private record Current(RoutePlan plan, byte[] bytes) {}
}
