package org.verbenadyke.kernel.serve;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.message.Message;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against calls that wait for an upstream and reach it after it was given up. */
final class DetachedUpstreamTest extends OneSlotFixture {
    DetachedUpstreamTest() {
        server.received(link, call(1));
        server.received(link, call(2));
    }

    @Test
    void aWaitingCallDoesNotReachAnUpstreamThatFellSilent() {
        server.detach();
        assertWaitingCallIsRefusedAsNotRun();
    }

    @Test
    void aWaitingCallDoesNotReachAnUpstreamThatWasReplaced() {
        server.attach(upstream());
        assertWaitingCallIsRefusedAsNotRun();
    }

    @Test
    void aWaitingCallReachesAnUpstreamThatOnlyGotAnotherId() {
        server.attach(server.upstream().orElseThrow().withId("u1.2"));
        handed.getFirst().head(200, List.of());
        handed.getFirst().end();
        assertEquals(2, handed.size());
    }

    private void assertWaitingCallIsRefusedAsNotRun() {
        Refusal refusal = ((Message.Refused) link.sent().getFirst()).refusal();
        assertEquals(RunState.NOT_RUN, refusal.state());
        assertEquals(RefusalReason.DRAINING, refusal.reason());
        handed.getFirst().head(200, List.of());
        handed.getFirst().end();
        assertEquals(1, handed.size());
    }
}
