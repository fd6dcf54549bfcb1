package org.verbenadyke.kernel.quota;

import org.verbenadyke.kernel.link.Links;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.message.Message;

/**
 * Brings questions to other nodes over the links to them.
 */
public final class LinkCourier implements TeamLimiter.Courier {
    private final Links links;

    private LinkCourier(Links links) {
        this.links = links;
    }

    /**
     * Creates a courier.
     *
     * @param links where links come from
     * @return the courier
     */
    public static LinkCourier over(Links links) {
        return new LinkCourier(links);
    }

    @Override
    public void send(MemberRecord node, Message message, Runnable unreachable) {
        links.acquire(node.endpoint(), link -> {
            if (link.isEmpty()) {
                unreachable.run();
                return;
            }
            link.get().send(message);
        });
    }
}
