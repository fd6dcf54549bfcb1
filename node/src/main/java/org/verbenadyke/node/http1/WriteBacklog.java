package org.verbenadyke.node.http1;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * The answers on a connection that wait to be written because their caller reads slowly. Confined to the connection's
 * event loop.
 */
final class WriteBacklog {
    private final long stallNanos;
    private long bytes;
    private long progressNanos;

    private WriteBacklog(long stallNanos) {
        this.stallNanos = stallNanos;
    }

    /**
     * Creates the backlog of one connection.
     *
     * @param stallNanos the timeout of a caller that reads nothing, in nanoseconds
     */
    static WriteBacklog of(long stallNanos) {
        return new WriteBacklog(stallNanos);
    }

    /** Returns whether answers wait, and their caller has read some of them within the timeout. */
    boolean waitsForReader(Channel channel, long now) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        // A message counts as pending until all of it is written.
        long waiting = buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
        if (waiting != bytes) {
            bytes = waiting;
            progressNanos = now;
        }
        return waiting > 0 && now - progressNanos <= stallNanos;
    }
}
