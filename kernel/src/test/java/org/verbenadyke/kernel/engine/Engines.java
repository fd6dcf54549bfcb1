package org.verbenadyke.kernel.engine;

import java.util.SplittableRandom;

import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.serve.KeyClaims;
import org.verbenadyke.kernel.serve.UpstreamPort;
import org.verbenadyke.kernel.time.VirtualTimerService;
import org.verbenadyke.kernel.trace.DecisionLog;

/** Makes engines that are connected by a {@link MemoryNet}, and know each other's upstreams as a test tells them. */
final class Engines {
    static final Location PLACE = new Location("r", "d");

    private Engines() {}

    static Engine create(
            MemoryNet net, String name, long incarnation, VirtualTimerService clock, Quarantine quarantine) {
        SplittableRandom random = new SplittableRandom(incarnation);
        EngineParts parts = new EngineParts(
                name,
                incarnation,
                PLACE,
                clock,
                net.transport(),
                () -> random,
                Counters.create(),
                Ledger.disabled(),
                DecisionLog.none(),
                quarantine,
                KeyClaims.unshared(),
                (link, message) -> {},
                (link, message) -> {},
                (link, message) -> {});
        return Engine.create(parts, Policy.standard());
    }

    /** A running call that can't be steered: its answer comes when the test wants. */
    static final class Silent implements UpstreamPort.Exchange {
        @Override
        public void request() {
            // The answer comes when the test wants.
        }

        @Override
        public void cancel() {
            // The run goes on.
        }
    }
}
