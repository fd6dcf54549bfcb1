package org.verbenadyke.node.settings;

import java.util.List;
import java.util.Optional;

import org.verbenadyke.kernel.engine.Policy;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;

/**
 * The validated settings of one node.
 *
 * @param id the node's name
 * @param location the node's region and data centre
 * @param peers the address to listen on for other nodes
 * @param entry the address to listen on for callers
 * @param local the address to listen on for the upstream that the node is colocated with
 * @param control the address to listen on for operators
 * @param logs the address of the log service
 * @param seeds the addresses of nodes to contact first, to learn the other members
 * @param policy the parameters of the node's decisions
 * @param jsonLogs whether log lines are written as JSON
 * @param ledger whether the invariants are checked at run time
 * @param ioThreads the number of threads that serve connections
 */
public record NodeSettings(
        String id,
        Location location,
        Endpoint peers,
        Endpoint entry,
        Endpoint local,
        Endpoint control,
        Optional<Endpoint> logs,
        List<Endpoint> seeds,
        Policy policy,
        boolean jsonLogs,
        boolean ledger,
        int ioThreads) {}
