package org.verbenadyke.kernel.link;

import java.util.Optional;
import java.util.function.Consumer;

import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.routing.Endpoint;

/**
 * Provides links to other nodes.
 */
@FunctionalInterface
public interface Links {
    /**
     * Provides a link, opening one if none is open.
     *
     * @param endpoint where the node listens
     * @param callback called exactly once, with the link, or empty when the node can't be connected to
     */
    void acquire(Endpoint endpoint, Consumer<Optional<Link>> callback);
}
