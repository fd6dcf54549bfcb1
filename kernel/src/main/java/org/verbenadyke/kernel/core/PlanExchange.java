package org.verbenadyke.kernel.core;

import org.verbenadyke.kernel.link.Links;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.route.RoutePlanStore;
import org.verbenadyke.kernel.routing.Endpoint;

/**
 * Passes routes between nodes.
 */
final class PlanExchange {
    private static final String SOURCE = "peer";

    private final RoutePlanStore plans;

    private PlanExchange(RoutePlanStore plans) {
        this.plans = plans;
    }

    static PlanExchange of(RoutePlanStore plans) {
        return new PlanExchange(plans);
    }

    /** Asks a node for its routes. */
    void fetch(Links links, Endpoint node) {
        links.acquire(node, link -> link.ifPresent(l -> l.send(new Message.PlanRequest())));
    }

    void received(Link link, Message message) {
        if (message instanceof Message.PlanReply told) {
            plans.offer(told.document(), SOURCE);
            return;
        }
        plans.document().ifPresent(d -> link.send(new Message.PlanReply(d.bytes())));
    }
}
