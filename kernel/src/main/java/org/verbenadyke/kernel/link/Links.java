package org.verbenadyke.kernel.link;

import java.util.Optional;
import java.util.function.Consumer;

import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.routing.Endpoint;

/**
 * Where links to other nodes come from.
 */
@FunctionalInterface
public interface Links {
    /**
     * Gets a link, opening one if there is none.
     *
     * @param endpoint where the node listens
     * @param taker is told once: the link, or empty when the node can't be connected to
     */
    void acquire(Endpoint endpoint, Consumer<Optional<Link>> taker);
}
