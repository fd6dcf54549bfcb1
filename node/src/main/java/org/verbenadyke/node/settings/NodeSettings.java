package org.verbenadyke.node.settings;

import java.util.List;
import java.util.Optional;

import org.verbenadyke.kernel.engine.Policy;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;

/**
 * The settings of one node, checked.
 *
 * @param id the node's name
 * @param location where it stands
 * @param peers where it listens for other nodes
 * @param entry where it listens for callers
 * @param local where it listens for the upstream beside it
 * @param control where it listens for operators
 * @param logs the addresses of the log service
 * @param seeds nodes to ask for news at the start
 * @param policy how it decides
 * @param jsonLogs whether log lines are written as JSON
 * @param ledger whether the promises are checked at run time
 * @param ioThreads how many threads serve connections
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
