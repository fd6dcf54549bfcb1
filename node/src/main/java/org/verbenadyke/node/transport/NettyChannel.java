package org.verbenadyke.node.transport;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;

import org.verbenadyke.kernel.link.Channel;
import org.verbenadyke.kernel.message.Message;

/**
 * Adapts a Netty channel to the decision logic. Messages pass through a queue that only the connection's event loop
 * drains: written directly, a message from the event loop would overtake messages that other threads wrote earlier.
 */
final class NettyChannel implements Channel {
    private final io.netty.channel.Channel channel;
    private final ConcurrentLinkedQueue<Message> queue = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean scheduled = new AtomicBoolean();

    private NettyChannel(io.netty.channel.Channel channel) {
        this.channel = channel;
    }

    static NettyChannel of(io.netty.channel.Channel channel) {
        return new NettyChannel(channel);
    }

    @Override
    public void write(Message message) {
        queue.add(message);
        if (channel.eventLoop().inEventLoop()) {
            drain();
        } else if (scheduled.compareAndSet(false, true)) {
            channel.eventLoop().execute(this::drain);
        }
    }

    @Override
    public void close() {
        channel.close();
    }

    private void drain() {
        scheduled.set(false);
        boolean written = false;
        for (Message m = queue.poll(); m != null; m = queue.poll()) {
            channel.write(m, channel.voidPromise());
            written = true;
        }
        if (written) {
            channel.flush();
        }
    }
}
