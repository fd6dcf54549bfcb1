package org.verbenadyke.kernel.membership;

import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link SelfRecord}. */
final class SelfRecordTest {
    private static final Endpoint HERE = new Endpoint("127.0.0.1", 1);

    private final SelfRecord self = new SelfRecord(record(100, MemberState.ALIVE), VirtualTimerService.startingAt(0));

    @Test
    void supersedesAnEarlierStartWhoseClockWasAhead() {
        Optional<MemberRecord> answer = self.refute(record(500, MemberState.ALIVE));
        assertTrue(answer.isPresent());
        assertTrue(answer.get().supersedes(record(500, MemberState.DEAD)));
        assertEquals(MemberState.ALIVE, self.record().state());
    }

    @Test
    void ignoresAnEarlierStartWithALowerClock() {
        assertTrue(self.refute(record(50, MemberState.DEAD)).isEmpty());
    }

    @Test
    void refutesNothingAfterItLeft() {
        self.change(MemberState.LEFT, "");
        assertTrue(self.refute(record(500, MemberState.ALIVE)).isEmpty());
    }

    private static MemberRecord record(long incarnation, MemberState state) {
        return new MemberRecord("n", incarnation, 3, state, HERE, HERE, new Location("r", "d"), "s", 0, 0);
    }
}
