package org.verbenadyke.kernel.engine;

import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.link.Transport;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.serve.KeyClaims;
import org.verbenadyke.kernel.time.TimerService;
import org.verbenadyke.kernel.trace.DecisionLog;

/**
 * What an engine works with.
 *
 * @param nodeId the node's name
 * @param incarnation drawn anew at each start of the process
 * @param location where the node stands
 * @param timers the time
 * @param transport opens connections to other nodes
 * @param random where each thread's randomness comes from
 * @param counters the node's counters
 * @param ledger checks the promises
 * @param decisions takes what is to be explained later
 * @param quarantine holds requests back under which upstreams end
 * @param keyClaims decides about idempotency keys
 * @param keyMessages takes messages about keys from other nodes
 * @param planMessages takes messages about routes
 * @param quotaMessages takes messages about teams' permits
 */
public record EngineParts(
        String nodeId,
        long incarnation,
        Location location,
        TimerService timers,
        Transport transport,
        Supplier<RandomGenerator> random,
        Counters counters,
        Ledger ledger,
        DecisionLog decisions,
        Quarantine quarantine,
        KeyClaims keyClaims,
        BiConsumer<Link, Message> keyMessages,
        BiConsumer<Link, Message> planMessages,
        BiConsumer<Link, Message> quotaMessages) {}
