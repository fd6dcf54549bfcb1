package org.verbenadyke.kernel.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.budget.AllowanceSettings;
import org.verbenadyke.kernel.budget.RetryAllowance;
import org.verbenadyke.kernel.call.RecordingSink;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against calls of runs that the node no longer knows earning retries as if callers had sent them. */
final class OrphanedCallTest {
    private static final long SECOND = 1_000_000_000L;

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final Engine entry = Engine.create(
            Engines.parts(new MemoryNet(), "entry", 1, clock, Quarantine.standalone(clock), Optional::empty),
            Policy.standard().withAllowance(new AllowanceSettings(0.2, 10 * SECOND, 0)));
    private final List<String> outcomes = new ArrayList<>();

    @Test
    void earnsNoRetries() {
        entry.submit(request().withOrphaned(true), new RecordingSink(outcomes));
        assertEquals(List.of(), entry.retryAllowance());
        entry.submit(request(), new RecordingSink(outcomes));
        assertEquals(
                List.of("s"),
                entry.retryAllowance().stream()
                        .map(RetryAllowance.Status::service)
                        .toList());
    }

    private static RoutedRequest request() {
        return Engines.request("s", SECOND, 2, 0);
    }
}
