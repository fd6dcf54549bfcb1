package org.verbenadyke.examples;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.engine.PlugIns;
import org.verbenadyke.kernel.routing.Candidate;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.routing.Upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests the examples of the embedding guide. */
final class ExamplesTest {
    @Test
    void theGateRunsWork() {
        List<String> log = new ArrayList<>();
        EmbeddedGate.create().run(Importance.HIGH, () -> log.add("ran"), () -> log.add("refused"));
        assertEquals(List.of("ran"), log);
    }

    @Test
    void thePlugInIsFoundByItsName() {
        Candidate idle = candidate("idle");
        Candidate busy = candidate("busy");
        busy.sent();
        assertEquals(
                idle,
                PlugIns.chooser("best-of-all")
                        .choose(List.of(busy, idle), new SplittableRandom(1))
                        .orElseThrow());
    }

    private static Candidate candidate(String id) {
        return Candidate.of(new Upstream(id, "s", new Endpoint("10.0.0.1", 1), new Location("r", "d")), true);
    }
}
