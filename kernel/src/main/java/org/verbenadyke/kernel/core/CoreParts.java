package org.verbenadyke.kernel.core;

import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.config.ConfigEntry;
import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.link.Transport;
import org.verbenadyke.kernel.log.LogService;
import org.verbenadyke.kernel.log.RecordCodec;
import org.verbenadyke.kernel.membership.DatagramPort;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.quarantine.QuarantinedRequest;
import org.verbenadyke.kernel.route.RoutePlanStore;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.TimerService;
import org.verbenadyke.kernel.trace.DecisionLog;

/**
 * What a node's decision logic works with.
 *
 * @param self the node's first record
 * @param seeds nodes to ask at the start
 * @param timers the time
 * @param transport opens connections to other nodes
 * @param datagrams sends datagrams to other nodes
 * @param log the log
 * @param members encodes member records
 * @param held encodes requests that are held back
 * @param configuration encodes configuration entries
 * @param random where each thread's randomness comes from
 * @param plans the routes in force
 * @param counters the node's counters
 * @param ledger checks the promises
 * @param decisions takes what is to be explained later
 */
public record CoreParts(
        MemberRecord self,
        List<Endpoint> seeds,
        TimerService timers,
        Transport transport,
        DatagramPort datagrams,
        LogService log,
        RecordCodec<MemberRecord> members,
        RecordCodec<QuarantinedRequest> held,
        RecordCodec<ConfigEntry> configuration,
        Supplier<RandomGenerator> random,
        RoutePlanStore plans,
        Counters counters,
        Ledger ledger,
        DecisionLog decisions) {}
