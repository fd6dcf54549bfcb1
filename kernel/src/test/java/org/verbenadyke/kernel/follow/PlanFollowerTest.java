package org.verbenadyke.kernel.follow;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.membership.MemberTable;
import org.verbenadyke.kernel.route.RoutePlanStore;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against reads that count for more than their answers show. */
final class PlanFollowerTest {
    private static final long MILLI = 1_000_000L;
    private static final long BATCH_DELAY_NANOS = 150 * MILLI;

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final RoutePlanStore plans = VersionedPlans.empty();
    private final List<Call> calls = new ArrayList<>();
    private final List<String> reports = new ArrayList<>();
    private FollowDuty duty;

    @BeforeEach
    void start() {
        Endpoint at = new Endpoint("10.0.0.1", 1);
        MemberRecord self = new MemberRecord("n", 1, 0, MemberState.ALIVE, at, at, new Location("r", "d"), "", 0, 0);
        MemberTable table = MemberTable.empty();
        table.merge(self, 0);
        duty = FollowDuty.of(clock, FollowSettings.standard(), () -> self, table, plans);
        SplittableRandom random = new SplittableRandom(1);
        PlanFollower.start(new RecordingSource(), plans, clock, () -> random, duty, new RecordingListener());
        clock.advance(2_000 * MILLI);
        answer(documents(true, 1));
        clock.advance(BATCH_DELAY_NANOS);
    }

    @Test
    void countsFromTheEndOfAPollWithoutAChange() {
        long wait = last().waitMillis;
        clock.advance((wait + 5) * MILLI);
        answer(documents(true));
        assertEquals(5, duty.currency().ageMillis());
    }

    @Test
    void countsFromTheRequestWhenAPollEndsEarly() {
        clock.advance(10 * MILLI);
        answer(documents(true, 2));
        assertEquals(2, plans.version());
        assertEquals(10, duty.currency().ageMillis());
    }

    @Test
    void countsNothingWhileAPollIsPending() {
        clock.advance(700 * MILLI);
        int age = duty.currency().ageMillis();
        clock.advance(300 * MILLI);
        assertEquals(age + 300, duty.currency().ageMillis());
    }

    @Test
    void countsNothingForAnAnswerThatStopsBeforeTheEnd() {
        clock.advance((last().waitMillis + 5) * MILLI);
        int before = duty.currency().ageMillis();
        answer(documents(false, 2));
        assertEquals(before, duty.currency().ageMillis());
    }

    /** A store that lags behind could otherwise be asked hundreds of times a second. */
    @Test
    void pausesWhenThePositionOfTheNewestRecordsIsGoneAtOnce() {
        answer(new PlanSource.Result.Gone());
        int asked = calls.size();
        clock.advance(100 * MILLI);
        assertEquals(asked, calls.size());
        clock.advance(400 * MILLI);
        assertTrue(calls.size() > asked);
    }

    @Test
    void readsTheNewestRecordsAtOnceWhenALaterPositionIsGone() {
        clock.advance((last().waitMillis + 5) * MILLI);
        answer(documents(true));
        int asked = calls.size();
        answer(new PlanSource.Result.Gone());
        assertEquals(asked + 1, calls.size());
    }

    @Test
    void reportsOnceThatThePlanMayBeOutOfDateAndOnceThatItIsNot() {
        clock.advance(3_000 * MILLI);
        assertEquals(List.of("outdated"), reports);
        answer(documents(true));
        clock.advance((last().waitMillis + 5) * MILLI);
        answer(documents(true));
        clock.advance(100 * MILLI);
        assertEquals(List.of("outdated", "current"), reports);
    }

    private Call last() {
        return calls.getLast();
    }

    private void answer(PlanSource.Result result) {
        last().callback.accept(result);
    }

    private static PlanSource.Result documents(boolean complete, long... versions) {
        List<byte[]> documents = new ArrayList<>();
        for (long v : versions) {
            documents.add(VersionedPlans.document(v));
        }
        return new PlanSource.Result.Documents(documents, new PlanSource.Position(0, 1), complete);
    }

    /** A call of the node. */
    private record Call(long waitMillis, Consumer<PlanSource.Result> callback) {}

    /** Records calls; the test answers them. */
    private final class RecordingSource implements PlanSource {
        @Override
        public void newest(Consumer<Result> callback) {
            calls.add(new Call(0, callback));
        }

        @Override
        public void next(Position from, long waitMillis, Consumer<Result> callback) {
            calls.add(new Call(waitMillis, callback));
        }
    }

    /** Records when the plan was no longer known to be current. */
    private final class RecordingListener implements PlanFollower.Listener {
        @Override
        public void outdated(PlanStatus status) {
            reports.add("outdated");
        }

        @Override
        public void current(PlanStatus status) {
            reports.add("current");
        }
    }
}
