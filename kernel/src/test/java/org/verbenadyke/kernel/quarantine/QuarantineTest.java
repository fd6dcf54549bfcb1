package org.verbenadyke.kernel.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.time.VirtualTimerService;
import org.verbenadyke.kernel.trace.Decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests which requests {@link Quarantine} quarantines, and for how long. */
final class QuarantineTest {
    private static final long SECOND = 1_000_000_000L;
    private static final Message.Content BAD = content("/p", "bad");
    private static final Message.Content SAME_PATH = content("/p", "good");
    private static final Message.Content OTHER = content("/q", "");

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final Counters counters = Counters.create();
    private final List<Decision> decisions = new ArrayList<>();
    private final List<Long> localTurns = new ArrayList<>();
    private final Quarantine quarantine =
            Quarantine.create(clock, QuarantineSettings.standard(), counters, decisions::add, new FixedTrials());

    @Test
    void quarantinesARequestFromTheThirdCrashOn() {
        quarantine.recordCrash(BAD, "u1");
        assertEquals(QuarantineStatus.UNRESTRICTED, quarantine.statusAtUpstream(BAD));
        quarantine.recordCrash(BAD, "u2");
        assertEquals(QuarantineStatus.SOLE_SUSPECT, quarantine.statusAtUpstream(BAD));
        quarantine.recordCrash(BAD, "u3");
        assertQuarantined(20, quarantine.statusAtUpstream(BAD));
        assertQuarantined(20, quarantine.statusAtEntry(BAD));
        assertEquals(1, counters.events(Event.QUARANTINE_BEGUN));
    }

    @Test
    void quarantinesNoOtherRequest() {
        recordThreeCrashes();
        assertEquals(QuarantineStatus.UNRESTRICTED, quarantine.statusAtEntry(SAME_PATH));
        assertEquals(QuarantineStatus.UNRESTRICTED, quarantine.statusAtUpstream(OTHER));
    }

    @Test
    void countsAndForwardsACrashOnceWhoeverReportsIt() {
        List<UpstreamCrash> forwarded = new ArrayList<>();
        quarantine.onCrash(forwarded::add);
        quarantine.recordCrash(BAD, "u1");
        quarantine.recordCrash(BAD, "u1");
        for (String reporter : List.of("n1", "n2", "n3")) {
            quarantine.learn(new UpstreamCrash(RequestDigest.of(BAD), "u1", false, clock.nanos(), reporter));
        }
        assertEquals(QuarantineStatus.UNRESTRICTED, quarantine.statusAtUpstream(BAD));
        assertEquals(1, forwarded.size());
        quarantine.recordCrash(BAD, "u2");
        assertEquals(QuarantineStatus.SOLE_SUSPECT, quarantine.statusAtUpstream(BAD));
    }

    @Test
    void countsEachCrashOfAnUpstreamThatKeepsItsId() {
        for (int i = 0; i < 3; i++) {
            assertEquals(i, quarantine.crashes(10).size());
            quarantine.recordCrash(BAD, "u1");
            clock.advance(SECOND / 2);
            quarantine.recordCrash(BAD, "u1");
            clock.advance(2 * SECOND);
        }
        assertInstanceOf(QuarantineStatus.Quarantined.class, quarantine.statusAtEntry(BAD));
    }

    @Test
    void clearsARequestThatWasAnswered() {
        quarantine.recordCrash(BAD, "u1");
        quarantine.recordCrash(BAD, "u2");
        quarantine.recordAnswer(SAME_PATH);
        assertEquals(QuarantineStatus.SOLE_SUSPECT, quarantine.statusAtUpstream(BAD));
        quarantine.recordAnswer(BAD);
        quarantine.learn(new UpstreamCrash(RequestDigest.of(BAD), "u1", false, clock.nanos(), "late"));
        quarantine.recordCrash(BAD, "u3");
        assertEquals(QuarantineStatus.UNRESTRICTED, quarantine.statusAtUpstream(BAD));
    }

    @Test
    void letsUpstreamsTryInTurnAndBacksOffAfterEachCrash() {
        recordThreeCrashes();
        localTurns.add(2L);
        assertEquals(Optional.of("s-0"), quarantine.trialUpstream(BAD, "s"));
        clock.advance(20 * SECOND);
        assertEquals(QuarantineStatus.TRIAL, quarantine.statusAtEntry(BAD));
        assertQuarantined(1, quarantine.statusAtUpstream(BAD));
        clock.advance(2 * SECOND);
        assertEquals(QuarantineStatus.TRIAL, quarantine.statusAtUpstream(BAD));
        assertEquals(Optional.of("s-2"), quarantine.trialUpstream(BAD, "s"));
        assertEquals(Optional.empty(), quarantine.trialUpstream(SAME_PATH, "s"));
        clock.advance(SECOND);
        assertQuarantined(1, quarantine.statusAtUpstream(BAD));
        quarantine.recordCrash(BAD, "u4");
        assertQuarantined(80, quarantine.statusAtEntry(BAD));
        clock.advance(80 * SECOND);
        quarantine.recordCrash(BAD, "u5");
        assertQuarantined(320, quarantine.statusAtEntry(BAD));
        clock.advance(320 * SECOND);
        quarantine.recordCrash(BAD, "u6");
        assertQuarantined(600, quarantine.statusAtEntry(BAD));
    }

    @Test
    void liftsTheQuarantineOfARequestAnsweredInATrial() {
        recordThreeCrashes();
        clock.advance(20 * SECOND);
        quarantine.recordAnswer(BAD);
        assertEquals(QuarantineStatus.UNRESTRICTED, quarantine.statusAtUpstream(BAD));
        assertEquals(1, counters.events(Event.QUARANTINE_LIFTED));
    }

    @Test
    void refusesWithARetryAfterDelayAndTheEvidence() {
        recordThreeCrashes();
        clock.advance(SECOND);
        quarantine.learn(new UpstreamCrash(RequestDigest.of(BAD), "u4", false, clock.nanos() - SECOND, "n7"));
        decisions.clear();
        QuarantineStatus.Quarantined quarantined =
                assertInstanceOf(QuarantineStatus.Quarantined.class, quarantine.statusAtEntry(BAD));
        Refusal refusal = quarantine.refusal(new RequestId(1, 2), quarantined);
        assertEquals(new Refusal(RunState.NOT_RUN, RefusalReason.QUARANTINED, 79_001), refusal);
        assertEquals(
                List.of(new Decision.QuarantineRefused(
                        new RequestId(1, 2),
                        RequestDigest.of(BAD),
                        79_001,
                        "u1 1000 ms ago, seen here; u2 1000 ms ago, seen here; u3 1000 ms ago, seen here; "
                                + "u4 1000 ms ago, told by n7")),
                decisions);
    }

    @Test
    void hasTheSameFingerprintWhateverTheOrderOfReports() {
        Quarantine other = Quarantine.standalone(clock);
        quarantine.recordCrash(BAD, "u1");
        quarantine.recordAnswer(BAD);
        recordThreeCrashes();
        assertNotEquals(other.fingerprint(), quarantine.fingerprint());
        quarantine.crashes(100).reversed().forEach(other::learn);
        assertEquals(quarantine.fingerprint(), other.fingerprint());
        assertEquals(quarantine.statusAtEntry(BAD), other.statusAtEntry(BAD));
    }

    @Test
    void reportsOnlyRequestsWithALocalCrashToTheLog() {
        List<RequestDigest> reported = new ArrayList<>();
        quarantine.onQuarantineChange(reported::add);
        quarantine.recordCrash(BAD, "u1");
        quarantine.recordCrash(BAD, "u2");
        quarantine.learn(new UpstreamCrash(RequestDigest.of(BAD), "u3", false, clock.nanos(), "n1"));
        assertEquals(1, reported.size());
        quarantine.recordCrash(BAD, "u4");
        quarantine.recordAnswer(BAD);
        for (String upstream : List.of("u1", "u2", "u3")) {
            quarantine.learn(new UpstreamCrash(RequestDigest.of(OTHER), upstream, false, clock.nanos(), "n1"));
        }
        assertEquals(Collections.nCopies(3, RequestDigest.of(BAD)), reported);
    }

    @Test
    void restoresTheQuarantineAfterAllNodesRestarted() {
        recordThreeCrashes();
        clock.advance(5 * SECOND);
        QuarantinedRequest quarantined =
                quarantine.logRecord(RequestDigest.of(BAD)).orElseThrow();
        clock.advance(5 * SECOND);
        Quarantine restarted = Quarantine.standalone(clock);
        restarted.restore(quarantined);
        assertQuarantined(10, restarted.statusAtEntry(BAD));
        quarantine.recordAnswer(BAD);
        restarted.restore(quarantine.logRecord(RequestDigest.of(BAD)).orElseThrow());
        assertEquals(QuarantineStatus.UNRESTRICTED, restarted.statusAtEntry(BAD));
        assertEquals(Optional.empty(), quarantine.logRecord(RequestDigest.of(OTHER)));
    }

    @Test
    void removesExpiredCrashes() {
        quarantine.recordCrash(OTHER, "u1");
        recordThreeCrashes();
        clock.advance(610 * SECOND);
        quarantine.sweep();
        assertEquals(3, quarantine.crashes(100).size());
        clock.advance(20 * SECOND);
        quarantine.sweep();
        assertEquals(List.of(), quarantine.crashes(100));
        assertEquals(QuarantineStatus.UNRESTRICTED, quarantine.statusAtEntry(BAD));
    }

    @Test
    void keepsQuarantinedRequestsInAFloodOfOtherCrashes() {
        recordThreeCrashes();
        int max = QuarantineSettings.standard().maxCrashes();
        for (int i = 0; i < 2 * max; i++) {
            clock.advance(1_000);
            quarantine.recordCrash(content("/flood/" + i, ""), "u9");
        }
        quarantine.sweep();
        assertTrue(quarantine.crashes(Integer.MAX_VALUE).size() <= max);
        assertInstanceOf(QuarantineStatus.Quarantined.class, quarantine.statusAtEntry(BAD));
    }

    private void recordThreeCrashes() {
        for (String upstream : List.of("u1", "u2", "u3")) {
            quarantine.recordCrash(BAD, upstream);
        }
    }

    private static void assertQuarantined(long seconds, QuarantineStatus standing) {
        assertEquals(
                seconds * SECOND,
                assertInstanceOf(QuarantineStatus.Quarantined.class, standing).retryAfterNanos());
    }

    /** Names the upstream of each turn after the service and the turn. */
    private final class FixedTrials implements TrialSchedule {
        @Override
        public Optional<String> upstream(RequestDigest request, String service, long turn) {
            return Optional.of(service + "-" + turn);
        }

        @Override
        public boolean isLocal(RequestDigest request, long turn) {
            return localTurns.contains(turn);
        }
    }

    private static Message.Content content(String path, String body) {
        return new Message.Content("POST", path, List.of(), body.getBytes(StandardCharsets.UTF_8));
    }
}
