package org.verbenadyke.kernel.plan;

import java.util.List;
import java.util.OptionalDouble;

/**
 * What a node knows about one service when it plans a change.
 *
 * @param service the service
 * @param members the nodes colocated with its upstreams that are present
 * @param load the share of their concurrency limits in use, from 0 to 1, if any of them reported it
 */
public record ServiceView(String service, List<Member> members, OptionalDouble load) {
    /**
     * A node colocated with an upstream.
     *
     * @param node its name
     * @param dataCentre its data centre
     * @param takesWork whether its upstream currently gets work
     */
    public record Member(String node, String dataCentre, boolean takesWork) {}
}
