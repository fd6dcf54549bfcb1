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
 * Holds the plan in force. A version only ever gives way to a higher one, whether it comes from the operators' store or
 * from another node; a document that can't be used leaves the last plan in force. Safe for many threads.
 */
public final class RoutePlanStore {
    /** The version while no plan is known. */
    public static final long NO_VERSION = -1;

    private final RoutePlanReader reader;
    private final Counters counters;
    private final Listener listener;
    private final AtomicReference<Held> held = new AtomicReference<>();

    private RoutePlanStore(RoutePlanReader reader, Counters counters, Listener listener) {
        this.reader = reader;
        this.counters = counters;
        this.listener = listener;
    }

    /**
     * Creates a keeper without a plan.
     *
     * @param reader reads documents
     * @param counters where plans taken and rejected are counted
     * @param listener takes what becomes of each document
     * @return the keeper
     */
    public static RoutePlanStore create(RoutePlanReader reader, Counters counters, Listener listener) {
        return new RoutePlanStore(reader, counters, listener);
    }

    /**
     * Creates a keeper for nodes that are not given routes; it takes no document.
     *
     * @return the keeper
     */
    public static RoutePlanStore disabled() {
        return new RoutePlanStore(
                document -> {
                    throw unreadable("this node is not given routes");
                },
                Counters.create(),
                new Listener() {
                    @Override
                    public void applied(RoutePlan plan, long before, String source) {
                        // No document is ever taken.
                    }

                    @Override
                    public void rejected(String source, List<String> problems) {
                        // The peer that sent it serves another kind of fleet; nothing changes here.
                    }
                });
    }

    /**
     * Returns the plan in force.
     *
     * @return the plan, empty before the first
     */
    public Optional<RoutePlan> plan() {
        return Optional.ofNullable(held.get()).map(Held::plan);
    }

    /**
     * Finds a team of the plan in force.
     *
     * @param name its name
     * @return the team, empty if the plan lists none of the name
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
        return Optional.ofNullable(held.get())
                .map(h -> new RoutePlanDocument(h.plan().version(), h.bytes()));
    }

    /**
     * Returns the version in force.
     *
     * @return the version, {@link #NO_VERSION} before the first
     */
    public long version() {
        Held h = held.get();
        return h == null ? NO_VERSION : h.plan().version();
    }

    /**
     * Takes a document.
     *
     * @param bytes the document
     * @param source where it came from, for the log
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
        Held next = new Held(plan, reader.withoutSecrets(bytes));
        Held before = held.getAndUpdate(h -> h == null || h.plan().version() < plan.version() ? next : h);
        if (held.get() == next && before != next) {
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
     * @param what what is wrong with it
     * @return the error
     */
    public static VerbenadykeException unreadable(String what) {
        return VerbenadykeException.of(ErrorCode.PLAN_UNREADABLE, what);
    }

    /**
     * Takes what becomes of documents.
     */
    public interface Listener {
        /**
         * Takes a plan that came in force.
         *
         * @param plan the plan
         * @param before the version it replaced, {@link #NO_VERSION} if it is the first
         * @param source where it came from
         */
        void applied(RoutePlan plan, long before, String source);

        /**
         * Takes the faults of a document that was not used.
         *
         * @param source where it came from
         * @param problems a sentence for each fault
         */
        void rejected(String source, List<String> problems);
    }

    /**
     * A plan with its document.
     *
     * @param plan the plan
     * @param bytes the document
     */
    private record Held(RoutePlan plan, byte[] bytes) {}
}
