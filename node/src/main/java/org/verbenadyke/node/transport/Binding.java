package org.verbenadyke.node.transport;

import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.routing.Endpoint;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;

/**
 * Waits until a port is bound.
 */
public final class Binding {
    private Binding() {}

    /**
     * Waits until a port is bound. The outcome is read from the attempt: the channel of a failed one may still be open
     * for a moment, and a node then seemed to listen in half of the tries.
     *
     * @param bound the attempt
     * @param endpoint the address
     * @param purpose what is to listen there
     * @return the channel that listens
     * @throws VerbenadykeException with {@link ErrorCode#PORT_IN_USE}
     */
    public static Channel await(ChannelFuture bound, Endpoint endpoint, String purpose) {
        bound.awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw VerbenadykeException.of(ErrorCode.PORT_IN_USE, endpoint, purpose);
        }
        return bound.channel();
    }
}
