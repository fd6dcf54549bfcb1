package org.verbenadyke.kernel.link;

import org.verbenadyke.kernel.message.Message;

/**
 * Receives the events of a link.
 */
interface LinkOwner {
    /** Called when a link is ready: both sides have exchanged hello messages and clock readings. */
    void ready(LinkSession link);

    void received(LinkSession link, Message message);

    /** Called exactly once, when a link has closed. */
    void lost(LinkSession link, boolean silent);
}
