package org.verbenadyke.kernel.serve;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.admission.FixedLimit;
import org.verbenadyke.kernel.admission.Gate;
import org.verbenadyke.kernel.admission.GateSettings;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.message.Repetition;
import org.verbenadyke.kernel.notice.StartNotices;
import org.verbenadyke.kernel.once.KeyTable;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.quarantine.RequestDigest;
import org.verbenadyke.kernel.time.VirtualTimerService;
import org.verbenadyke.kernel.trace.DecisionLog;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against crashes that are looked up too early, discarded or made up. */
final class CrashRecorderTest {
    private static final long SECOND = 1_000_000_000L;
    private static final int MANY = 1_000;

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final Quarantine quarantine = Quarantine.standalone(clock);
    private final CrashRecorder recorder = CrashRecorder.create(clock, quarantine, DecisionLog.none());
    private final AttachedUpstream attached = AttachedUpstream.none(recorder);
    private final LocalUpstream first = upstream(1);

    CrashRecorderTest() {
        clock.advance(SECOND);
        attached.attach(first);
    }

    @Test
    void aConnectionThatEndsProvesNothing() {
        assertEquals(RefusalReason.UPSTREAM_BROKEN, lose("/a"));
        assertCrashes(0);
    }

    @Test
    void aCallCountsWhoseConnectionEndedBeforeTheListenerDid() {
        lose("/a");
        attached.detachCrashed();
        assertCrashes(1);
    }

    @Test
    void aCallCountsWhoseUpstreamRefusesConnectionsAndStaysAttached() {
        lose("/a");
        attached.crashed();
        assertCrashes(1);
        assertEquals(RefusalReason.UPSTREAM_BROKEN, lose("/b"));
        assertCrashes(1);
    }

    @Test
    void aCallCountsWhoseConnectionEndsAfterTheUpstreamWasGivenUp() {
        attached.detachCrashed();
        assertEquals(RefusalReason.UPSTREAM_ENDED, lose("/a"));
        assertEquals(RefusalReason.UPSTREAM_ENDED, refuse("/b"));
        assertCrashes(2);
    }

    @Test
    void aCallCountsWhoseUpstreamIsReplaced() {
        lose("/a");
        attached.attach(upstream(2));
        assertEquals(RefusalReason.UPSTREAM_ENDED, lose("/b"));
        assertCrashes(2);
    }

    @Test
    void aCallCountsWhoseUpstreamFellSilentAndIsReplaced() {
        lose("/a");
        attached.detach();
        attached.attach(upstream(2));
        assertCrashes(1);
    }

    @Test
    void anUpstreamThatFellSilentAndReportsAgainHasNotCrashed() {
        lose("/a");
        attached.detach();
        attached.attach(upstream(1));
        assertCrashes(0);
    }

    @Test
    void anUpstreamThatGoesOnReportingHasSurvivedTheLossOfAConnection() {
        lose("/a");
        attached.reported();
        clock.advance(SECOND);
        attached.reported();
        attached.detachCrashed();
        assertCrashes(0);
    }

    /** After a pause of the node, the reports that came meanwhile may be read after the broken connections. */
    @Test
    void reportsThatAreReadTogetherProveNoSurvival() {
        lose("/a");
        attached.reported();
        attached.reported();
        attached.detachCrashed();
        assertCrashes(1);
    }

    @Test
    void oneReportMayHaveBeenDelayedAndProvesNoSurvival() {
        lose("/a");
        attached.reported();
        attached.detachCrashed();
        assertCrashes(1);
    }

    @Test
    void aCancelledCallCountsWhileTheUpstreamMayRunItThoughItReports() {
        cancel("/a", clock.nanos() + SECOND);
        attached.reported();
        clock.advance(SECOND);
        attached.reported();
        clock.advance(SECOND);
        attached.detachCrashed();
        assertCrashes(1);
    }

    @Test
    void aCallThatWasCancelledLongAgoDoesNotCount() {
        cancel("/a", clock.nanos() + SECOND);
        clock.advance(4 * SECOND);
        attached.detachCrashed();
        assertCrashes(0);
    }

    @Test
    void theEndOfAnUpstreamThatIsLeavingDoesNotCount() {
        lose("/a");
        first.drain(DrainCause.LEAVING);
        lose("/b");
        cancel("/c", clock.nanos() + SECOND);
        assertEquals(RefusalReason.UPSTREAM_BROKEN, refuse("/d"));
        attached.detachCrashed();
        attached.attach(upstream(2));
        assertCrashes(0);
    }

    @Test
    void aCrashCountsWhileTheNodeStops() {
        first.drain(DrainCause.NODE_STOPPING);
        assertEquals(RefusalReason.UPSTREAM_ENDED, refuse("/a"));
        assertCrashes(1);
    }

    @Test
    void theEndOfAnUpstreamDoesNotCountWhenItsLeavingIsKnownOnlyByNow() {
        first.drain(DrainCause.DETACHED);
        first.drain(DrainCause.LEAVING);
        first.resume(DrainCause.DETACHED);
        assertEquals(RefusalReason.UPSTREAM_BROKEN, refuse("/a"));
        assertCrashes(0);
    }

    @Test
    void keepsABoundedNumberOfTheNewestCalls() {
        for (int i = 0; i < MANY; i++) {
            lose("/flood/" + i);
        }
        attached.detachCrashed();
        assertCrashes(CrashEvidence.MAX_CALLS);
    }

    private RefusalReason lose(String path) {
        return recorder.connectionLost(call(path), digest(path), first);
    }

    private RefusalReason refuse(String path) {
        return recorder.connectionRefused(call(path), digest(path), first);
    }

    private void cancel(String path, long deadlineNanos) {
        recorder.cancelled(call(path), digest(path), first, deadlineNanos);
    }

    private void assertCrashes(int expected) {
        assertEquals(expected, quarantine.crashes(MANY).size());
    }

    private LocalUpstream upstream(long start) {
        return LocalUpstream.of(
                new Attachment("u" + start, "s", (handOver, listener) -> null, start, () -> {}),
                Gate.of(GateSettings.standard(), FixedLimit.of(1)),
                KeyTable.withRetention(SECOND),
                StartNotices.of(start),
                clock);
    }

    private static Message.Content content(String path) {
        return new Message.Content("GET", path, List.of(), "".getBytes(StandardCharsets.UTF_8));
    }

    private static RequestDigest digest(String path) {
        return RequestDigest.of(content(path));
    }

    private Message.Call call(String path) {
        return new Message.Call(
                new CallId(5, 1),
                new RequestId(5, 1),
                new Message.Target("s", "u1"),
                Importance.NORMAL,
                0,
                SECOND,
                SECOND,
                clock.nanos(),
                true,
                "",
                Message.Stated.NOTHING,
                false,
                Repetition.NONE,
                content(path));
    }
}
