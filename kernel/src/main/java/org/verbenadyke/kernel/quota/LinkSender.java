package org.verbenadyke.kernel.quota;

import org.verbenadyke.kernel.link.Links;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.message.Message;

/**
 * Sends messages to other nodes over the links to them.
 */
public final class LinkSender implements TeamLimiter.MessageSender {
    private final Links links;

    private LinkSender(Links links) {
        this.links = links;
    }

    /**
     * Creates a sender.
     *
     * @param links provides the links
     * @return the sender
     */
    public static LinkSender over(Links links) {
        return new LinkSender(links);
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
