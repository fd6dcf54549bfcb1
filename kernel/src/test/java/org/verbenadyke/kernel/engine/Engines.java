package org.verbenadyke.kernel.engine;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Supplier;

import org.verbenadyke.kernel.body.BodyMemory;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.route.RequestKind;
import org.verbenadyke.kernel.route.Route;
import org.verbenadyke.kernel.route.RoutePlan;
import org.verbenadyke.kernel.route.ServiceShare;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.serve.KeyClaims;
import org.verbenadyke.kernel.serve.UpstreamPort;
import org.verbenadyke.kernel.time.VirtualTimerService;
import org.verbenadyke.kernel.trace.DecisionLog;

/** Creates engines that are connected by a {@link MemoryNet}; each test registers the upstreams they know. */
final class Engines {
    static final Location LOCATION = new Location("r", "d");
    static final Message.Content CONTENT = new Message.Content("GET", "/p/x", List.of(), new byte[0]);

    private Engines() {}

    static Engine create(
            MemoryNet net, String name, long incarnation, VirtualTimerService clock, Quarantine quarantine) {
        return Engine.create(parts(net, name, incarnation, clock, quarantine, Optional::empty), Policy.standard());
    }

    static EngineParts parts(
            MemoryNet net,
            String name,
            long incarnation,
            VirtualTimerService clock,
            Quarantine quarantine,
            Supplier<Optional<RoutePlan>> plan) {
        SplittableRandom random = new SplittableRandom(incarnation);
        return new EngineParts(
                name,
                incarnation,
                LOCATION,
                clock,
                net.transport(),
                () -> random,
                Counters.create(),
                Ledger.disabled(),
                DecisionLog.none(),
                quarantine,
                plan,
                BodyMemory.unlimited(clock),
                KeyClaims.unshared(),
                (link, message) -> {},
                (link, message) -> {},
                (link, message) -> {},
                () -> 1);
    }

    /** Returns a request of a caller on an idempotent route to a service. */
    static RoutedRequest request(String service, long ttlNanos, int attempts, long elapsedNanos) {
        List<ServiceShare> shares = List.of(new ServiceShare(service, 1));
        Route route = new Route("r", "", "/p/", shares, RequestKind.IDEMPOTENT, ttlNanos, ttlNanos, attempts, 0, true);
        return new RoutedRequest(route, service, CONTENT, Importance.NORMAL, Optional.empty(), ttlNanos, elapsedNanos);
    }

    /** A running call that ignores its caller; the test sends the answer. */
    static final class Silent implements UpstreamPort.Exchange {
        @Override
        public void request() {
            // The test sends the answer.
        }

        @Override
        public void cancel() {
            // The call keeps running.
        }
    }
}
