package org.verbenadyke.kernel.plan;

import java.util.List;
import java.util.OptionalDouble;

/**
 * What a node knows of one service when it plans.
 *
 * @param service the service
 * @param members the nodes beside its upstreams that are present
 * @param load the share of their concurrency limits in use, from 0 to 1, if any of them reported it
 */
public record ServiceView(String service, List<Member> members, OptionalDouble load) {
    /**
     * A node beside an upstream.
     *
     * @param node its name
     * @param dataCentre where it stands
     * @param takesWork whether its upstream gets work now
     */
    public record Member(String node, String dataCentre, boolean takesWork) {}
}
