package org.verbenadyke.kernel.core;

import org.verbenadyke.kernel.link.Links;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.route.RoutePlanStore;
import org.verbenadyke.kernel.routing.Endpoint;

/**
 * Exchanges routes with other nodes.
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

    /** Requests the routes of a node. */
    void fetch(Links links, Endpoint node) {
        links.acquire(node, link -> link.ifPresent(l -> l.send(new Message.PlanRequest())));
    }

    void received(Link link, Message message) {
        if (message instanceof Message.PlanReply reply) {
            plans.offer(reply.document(), SOURCE);
            return;
        }
        plans.document().ifPresent(d -> link.send(new Message.PlanReply(d.bytes())));
    }
}
