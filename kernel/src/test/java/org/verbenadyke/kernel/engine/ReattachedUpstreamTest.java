package org.verbenadyke.kernel.engine;

import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.body.BodyMemory;
import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.serve.KeyClaims;
import org.verbenadyke.kernel.serve.UpstreamPort;
import org.verbenadyke.kernel.time.VirtualTimerService;
import org.verbenadyke.kernel.trace.DecisionLog;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests an upstream that detached and registers again under the same id. */
final class ReattachedUpstreamTest {
    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final Engine engine = Engine.create(
            new EngineParts(
                    "n",
                    1,
                    new Location("r", "d"),
                    clock,
                    (endpoint, handler) -> {},
                    () -> new SplittableRandom(1),
                    Counters.create(),
                    Ledger.disabled(),
                    DecisionLog.none(),
                    Quarantine.standalone(clock),
                    Optional::empty,
                    BodyMemory.unlimited(clock),
                    KeyClaims.unshared(),
                    (link, message) -> {},
                    (link, message) -> {},
                    (link, message) -> {},
                    () -> 1),
            Policy.standard());

    @Test
    void retainsTheKeysThatItRan() {
        UpstreamPort port = (handOver, listener) -> null;
        engine.attach("u1", "s", port).keys().claim("key", 1, clock.nanos());
        engine.server().detach();
        assertTrue(engine.attach("u1", "s", port).keys().contains("key"));
    }
}
