package org.verbenadyke.kernel.engine;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RecordingSink;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Upstream;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a decision on surplus that is lost between the entry and the choice of an upstream. */
final class SurplusRequestTest {
    private static final long SECOND = 1_000_000_000L;
    private static final int FIRST_LEVEL = Importance.NORMAL.ordinal() * RequestId.BUCKETS + 8;

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final List<String> outcomes = new ArrayList<>();
    private final Engine entry = Engines.create(new MemoryNet(), "entry", 1, clock, Quarantine.standalone(clock));

    @Test
    void surplusIsRefusedBeforeTheSameRequestOfAnotherTeam() {
        entry.router().update(List.of(new Upstream("u", "s", new Endpoint("10.0.0.2", 1), Engines.LOCATION)));
        RequestId id = entry.newRequestId();
        assertTrue(Importance.NORMAL.rank(id, false) >= FIRST_LEVEL, "only surplus is below the level");
        report(0);
        entry.submit(request(false).withSurplus(id, true), new RecordingSink(outcomes));
        report(FIRST_LEVEL);
        entry.submit(request(false).withSurplus(id, true), new RecordingSink(outcomes));
        entry.submit(request(false).withSurplus(id, false), new RecordingSink(outcomes));
        entry.submit(request(true).withSurplus(id, true), new RecordingSink(outcomes));
        assertEquals(
                List.of("CONNECT_FAILED", "SHED_EARLY", "CONNECT_FAILED", "SHED_EARLY"),
                outcomes.stream().map(o -> o.split(" ")[2]).toList(),
                "without overload, surplus, no surplus, surplus of a returning caller");
    }

    private void report(int level) {
        entry.router()
                .candidates()
                .getFirst()
                .reported("", new Message.Report(10, 10, level, level, false, Message.DeeperLevel.NONE), clock.nanos());
    }

    private static RoutedRequest request(boolean returning) {
        return Engines.request("s", SECOND, 1, returning ? 1 : 0);
    }
}
