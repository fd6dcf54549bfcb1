package org.verbenadyke.kernel.core;

import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.config.ConfigEntry;
import org.verbenadyke.kernel.departure.NodeDepartures;
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
 * The components and settings that a node's decision logic uses.
 *
 * @param self the node's first record
 * @param seeds nodes to contact at the start
 * @param timers the clock and timers
 * @param transport opens connections to other nodes
 * @param datagrams sends datagrams to other nodes
 * @param log the log
 * @param memberCodec encodes member records
 * @param quarantineCodec encodes quarantined requests
 * @param departureCodec encodes departures of upstreams
 * @param configurationCodec encodes configuration entries
 * @param random the source of each thread's randomness
 * @param plans the routes in force
 * @param counters the node's counters
 * @param ledger checks the invariants
 * @param decisions records decisions to explain later
 */
public record CoreParts(
        MemberRecord self,
        List<Endpoint> seeds,
        TimerService timers,
        Transport transport,
        DatagramPort datagrams,
        LogService log,
        RecordCodec<MemberRecord> memberCodec,
        RecordCodec<QuarantinedRequest> quarantineCodec,
        RecordCodec<NodeDepartures> departureCodec,
        RecordCodec<ConfigEntry> configurationCodec,
        Supplier<RandomGenerator> random,
        RoutePlanStore plans,
        Counters counters,
        Ledger ledger,
        DecisionLog decisions) {}
