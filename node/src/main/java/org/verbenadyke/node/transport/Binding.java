package org.verbenadyke.node.transport;

import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.routing.Endpoint;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;

/**
 * Awaits the binding of listening ports.
 */
public final class Binding {
    private Binding() {}

    /**
     * Waits until a port is bound. The outcome is read from the future, not from the channel: the channel of a failed
     * attempt may stay open for a moment, so that about half of the failed attempts would pass for successful ones.
     *
     * @param bound the attempt to bind
     * @param endpoint the address
     * @param purpose what listens at the address, for the error message
     * @return the listening channel
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
