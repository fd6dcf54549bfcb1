package org.verbenadyke.kernel.core;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.link.Links;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.route.RoutePlanStore;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.Subscription;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Fetches newer routes from the nodes that told of them, one node at a time, and answers requests for this node's
 * routes. A node that doesn't answer in time is passed over for another one, and its link counts as awaiting an answer,
 * so that a silent link is found and closed.
 */
final class PlanExchange {
    private static final String SOURCE = "peer";
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** How long a node has to answer, so that two nodes in turn fit into a small part of the bound for changes. */
    private static final long ANSWER_TIMEOUT_NANOS = 300 * NANOS_PER_MILLI;

    /** How many documents of a version may be rejected, from whichever nodes, before it is not fetched for a while. */
    private static final int MAX_REJECTIONS = 3;

    /** How long a version is not fetched again after that. */
    private static final long REJECTED_PAUSE_NANOS = 5_000 * NANOS_PER_MILLI;

    /** How many nodes are remembered: gossip soon names more if all of them fail. */
    private static final int MAX_HOLDERS = 8;

    private final RoutePlanStore plans;
    private final TimerService timers;
    private final SerialExecutor serial = SerialExecutor.create();
    private final Deque<Holder> holders = new ArrayDeque<>();
    private final Set<Link> awaiting = new HashSet<>();
    private Fetch pending;
    private long rejectedVersion = RoutePlanStore.NO_VERSION;
    private int rejections;
    private long rejectedNanos;

    private PlanExchange(RoutePlanStore plans, TimerService timers) {
        this.plans = plans;
        this.timers = timers;
    }

    static PlanExchange of(RoutePlanStore plans, TimerService timers) {
        return new PlanExchange(plans, timers);
    }

    /** Fetches the routes of a node that has newer ones, unless another node is being asked for them. */
    void fetch(Links links, Endpoint node, long version) {
        serial.run(() -> {
            if (version <= plans.version() || rejectedLately(version)) {
                return;
            }
            holders.removeIf(h -> h.node().equals(node));
            holders.addFirst(new Holder(node, version));
            if (holders.size() > MAX_HOLDERS) {
                holders.removeLast();
            }
            if (pending == null) {
                fetchNext(links);
            }
        });
    }

    void received(Link link, Message message) {
        if (message instanceof Message.PlanReply reply) {
            serial.run(() -> onReply(link, reply));
            return;
        }
        plans.document().ifPresent(d -> link.send(new Message.PlanReply(d.bytes())));
    }

    private void fetchNext(Links links) {
        pending = null;
        holders.removeIf(h -> h.version() <= plans.version() || rejectedLately(h.version()));
        Holder holder = holders.poll();
        if (holder == null) {
            return;
        }
        Fetch fetch = new Fetch(links, holder.version());
        pending = fetch;
        fetch.timeout = timers.after(ANSWER_TIMEOUT_NANOS, () -> serial.run(() -> endFetch(fetch)));
        links.acquire(holder.node(), link -> serial.run(() -> request(fetch, link)));
    }

    private void request(Fetch fetch, Optional<Link> link) {
        if (fetch != pending) {
            return;
        }
        if (link.isEmpty()) {
            endFetch(fetch);
            return;
        }
        fetch.link = link.get();
        awaiting.removeIf(Link::closed);
        if (awaiting.add(fetch.link)) {
            fetch.link.adjustAwaited(1);
        }
        fetch.link.send(new Message.PlanRequest());
    }

    private void onReply(Link link, Message.PlanReply reply) {
        if (awaiting.remove(link)) {
            link.adjustAwaited(-1);
        }
        plans.offer(reply.document(), SOURCE);
        Fetch fetch = pending;
        if (fetch == null) {
            return;
        }
        boolean answered = link == fetch.link;
        if (answered && plans.version() < fetch.version) {
            countRejection(fetch.version);
        }
        if (answered || plans.version() >= fetch.version) {
            endFetch(fetch);
        }
    }

    private void endFetch(Fetch fetch) {
        if (fetch == pending) {
            fetch.timeout.cancel();
            fetchNext(fetch.links);
        }
    }

    private void countRejection(long version) {
        rejections = recentRejections(version) + 1;
        rejectedVersion = version;
        rejectedNanos = timers.nanos();
    }

    private boolean rejectedLately(long version) {
        return recentRejections(version) >= MAX_REJECTIONS;
    }

    private int recentRejections(long version) {
        boolean recent = version == rejectedVersion && timers.nanos() - rejectedNanos < REJECTED_PAUSE_NANOS;
        return recent ? rejections : 0;
    }

    /**
     * A node that has newer routes.
     *
     * @param node where it listens
     * @param version the version that it told
     */
    private record Holder(Endpoint node, long version) {}

    /**
     * A request for routes.
     */
    private static final class Fetch {
        private final Links links;
        private final long version;
        private Subscription timeout = () -> {};
        private Link link;

        private Fetch(Links links, long version) {
            this.links = links;
            this.version = version;
        }
    }
}
