package org.verbenadyke.kernel.engine;

import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.body.BodyMemory;
import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.link.Transport;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.route.RoutePlan;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.serve.KeyClaims;
import org.verbenadyke.kernel.time.TimerService;
import org.verbenadyke.kernel.trace.DecisionLog;

/**
 * The collaborators of an engine.
 *
 * @param nodeId the node's name
 * @param incarnation a number drawn at each start of the process
 * @param location the location of the node
 * @param timers the clock and timers
 * @param transport opens connections to other nodes
 * @param random supplies each thread's random generator
 * @param counters the node's counters
 * @param ledger checks the invariants
 * @param decisions records decisions for operators
 * @param quarantine quarantines requests that crash upstreams
 * @param plan the route plan in force, empty if there is none
 * @param bodies limits the memory for request bodies
 * @param keyClaims grants or denies claims of idempotency keys
 * @param keyMessages handles messages about keys from other nodes
 * @param planMessages handles messages about route plans
 * @param quotaMessages handles messages about teams' permits
 * @param fleetSize supplies the number of nodes that are present
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
        Supplier<Optional<RoutePlan>> plan,
        BodyMemory bodies,
        KeyClaims keyClaims,
        BiConsumer<Link, Message> keyMessages,
        BiConsumer<Link, Message> planMessages,
        BiConsumer<Link, Message> quotaMessages,
        IntSupplier fleetSize) {}
