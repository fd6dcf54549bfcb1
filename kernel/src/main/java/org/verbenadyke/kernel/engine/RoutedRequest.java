package org.verbenadyke.kernel.engine;

import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.dispatch.ChainObserver;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.route.Route;

/**
 * A request whose route is known.
 *
 * @param route the route it matched
 * @param service the service chosen among the route's parts
 * @param content what the upstream gets
 * @param importance how much it matters
 * @param depth how many calls lie above it, as far as this node can tell
 * @param ttlNanos how long its caller waits, in nanoseconds
 * @param observer who learns what the chain below reports
 */
public record RoutedRequest(
        Route route,
        String service,
        Message.Content content,
        Importance importance,
        int depth,
        long ttlNanos,
        ChainObserver observer) {}
