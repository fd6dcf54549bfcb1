package org.verbenadyke.kernel.link;

import org.verbenadyke.kernel.message.Message;

/**
 * Takes what comes over a node's links.
 */
interface LinkOwner {
    /** Takes the news that a link is ready: both sides have said hello and lent their clocks. */
    void ready(LinkSession link);

    void received(LinkSession link, Message message);

    /** Takes the end of a link; told once. */
    void lost(LinkSession link, boolean silent);
}
