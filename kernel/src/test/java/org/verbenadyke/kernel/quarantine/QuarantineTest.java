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

/** Tests which requests a {@link Quarantine} holds back, and for how long. */
final class QuarantineTest {
    private static final long SECOND = 1_000_000_000L;
    private static final Message.Content BAD = content("/p", "bad");
    private static final Message.Content SAME_PATH = content("/p", "good");
    private static final Message.Content OTHER = content("/q", "");

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final Counters counters = Counters.create();
    private final List<Decision> decisions = new ArrayList<>();
    private final List<Long> turnsHere = new ArrayList<>();
    private final Quarantine quarantine =
            Quarantine.create(clock, QuarantineSettings.standard(), counters, decisions::add, new Turns());

    @Test
    void holdsARequestBackFromTheThirdEndOn() {
        quarantine.recordCrash(BAD, "u1");
        assertEquals(QuarantineStatus.UNRESTRICTED, quarantine.statusAtUpstream(BAD));
        quarantine.recordCrash(BAD, "u2");
        assertEquals(QuarantineStatus.SOLE_SUSPECT, quarantine.statusAtUpstream(BAD));
        quarantine.recordCrash(BAD, "u3");
        assertHeld(20, quarantine.statusAtUpstream(BAD));
        assertHeld(20, quarantine.statusAtEntry(BAD));
        assertEquals(1, counters.events(Event.QUARANTINE_BEGUN));
    }

    @Test
    void holdsNoOtherRequestBack() {
        endThree();
        assertEquals(QuarantineStatus.UNRESTRICTED, quarantine.statusAtEntry(SAME_PATH));
        assertEquals(QuarantineStatus.UNRESTRICTED, quarantine.statusAtUpstream(OTHER));
    }

    @Test
    void countsAnEndOnceWhoeverTellsOfItAndPassesItOnOnce() {
        List<UpstreamCrash> news = new ArrayList<>();
        quarantine.onNews(news::add);
        quarantine.recordCrash(BAD, "u1");
        quarantine.recordCrash(BAD, "u1");
        for (String teller : List.of("n1", "n2", "n3")) {
            quarantine.hear(new UpstreamCrash(RequestDigest.of(BAD), "u1", false, clock.nanos(), teller));
        }
        assertEquals(QuarantineStatus.UNRESTRICTED, quarantine.statusAtUpstream(BAD));
        assertEquals(1, news.size());
        quarantine.recordCrash(BAD, "u2");
        assertEquals(QuarantineStatus.SOLE_SUSPECT, quarantine.statusAtUpstream(BAD));
    }

    @Test
    void takesAnAnswerForProofThatTheRequestWasNotTheCause() {
        quarantine.recordCrash(BAD, "u1");
        quarantine.recordCrash(BAD, "u2");
        quarantine.recordAnswer(SAME_PATH);
        assertEquals(QuarantineStatus.SOLE_SUSPECT, quarantine.statusAtUpstream(BAD));
        quarantine.recordAnswer(BAD);
        quarantine.hear(new UpstreamCrash(RequestDigest.of(BAD), "u1", false, clock.nanos(), "late"));
        quarantine.recordCrash(BAD, "u3");
        assertEquals(QuarantineStatus.UNRESTRICTED, quarantine.statusAtUpstream(BAD));
    }

    @Test
    void letsUpstreamsTryByTurnsAndWaitsLongerEachTime() {
        endThree();
        turnsHere.add(2L);
        assertEquals(Optional.of("s-0"), quarantine.trialUpstream(BAD, "s"));
        clock.advance(20 * SECOND);
        assertEquals(QuarantineStatus.SOLE_SUSPECT, quarantine.statusAtEntry(BAD));
        assertHeld(1, quarantine.statusAtUpstream(BAD));
        clock.advance(2 * SECOND);
        assertEquals(QuarantineStatus.SOLE_SUSPECT, quarantine.statusAtUpstream(BAD));
        assertEquals(Optional.of("s-2"), quarantine.trialUpstream(BAD, "s"));
        assertEquals(Optional.empty(), quarantine.trialUpstream(SAME_PATH, "s"));
        clock.advance(SECOND);
        assertHeld(1, quarantine.statusAtUpstream(BAD));
        quarantine.recordCrash(BAD, "u4");
        assertHeld(80, quarantine.statusAtEntry(BAD));
        clock.advance(80 * SECOND);
        quarantine.recordCrash(BAD, "u5");
        assertHeld(320, quarantine.statusAtEntry(BAD));
        clock.advance(320 * SECOND);
        quarantine.recordCrash(BAD, "u6");
        assertHeld(600, quarantine.statusAtEntry(BAD));
    }

    @Test
    void letsARequestGoThatWasAnsweredInATrial() {
        endThree();
        clock.advance(20 * SECOND);
        quarantine.recordAnswer(BAD);
        assertEquals(QuarantineStatus.UNRESTRICTED, quarantine.statusAtUpstream(BAD));
        assertEquals(1, counters.events(Event.QUARANTINE_LIFTED));
    }

    @Test
    void tellsACallerWhenItMayBeTriedAgainAndWhy() {
        endThree();
        clock.advance(SECOND);
        quarantine.hear(new UpstreamCrash(RequestDigest.of(BAD), "u4", false, clock.nanos() - SECOND, "n7"));
        decisions.clear();
        QuarantineStatus.Quarantined held =
                assertInstanceOf(QuarantineStatus.Quarantined.class, quarantine.statusAtEntry(BAD));
        Refusal refusal = quarantine.refusal(new RequestId(1, 2), held);
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
    void knowsTheSameAsOthersInWhateverOrderItLearns() {
        Quarantine other = Quarantine.standalone(clock);
        quarantine.recordCrash(BAD, "u1");
        quarantine.recordAnswer(BAD);
        endThree();
        assertNotEquals(other.fingerprint(), quarantine.fingerprint());
        quarantine.crashes(100).reversed().forEach(other::hear);
        assertEquals(quarantine.fingerprint(), other.fingerprint());
        assertEquals(quarantine.statusAtEntry(BAD), other.statusAtEntry(BAD));
    }

    @Test
    void tellsTheLogOfRequestsOfWhichItSawAnEnd() {
        List<RequestDigest> told = new ArrayList<>();
        quarantine.onHeld(told::add);
        quarantine.recordCrash(BAD, "u1");
        quarantine.recordCrash(BAD, "u2");
        quarantine.hear(new UpstreamCrash(RequestDigest.of(BAD), "u3", false, clock.nanos(), "n1"));
        assertEquals(1, told.size());
        quarantine.recordCrash(BAD, "u4");
        quarantine.recordAnswer(BAD);
        for (String upstream : List.of("u1", "u2", "u3")) {
            quarantine.hear(new UpstreamCrash(RequestDigest.of(OTHER), upstream, false, clock.nanos(), "n1"));
        }
        assertEquals(Collections.nCopies(3, RequestDigest.of(BAD)), told);
    }

    @Test
    void isAsBeforeAfterAllNodesHaveStartedAnew() {
        endThree();
        clock.advance(5 * SECOND);
        QuarantinedRequest held = quarantine.record(RequestDigest.of(BAD)).orElseThrow();
        clock.advance(5 * SECOND);
        Quarantine anew = Quarantine.standalone(clock);
        anew.restore(held);
        assertHeld(10, anew.statusAtEntry(BAD));
        quarantine.recordAnswer(BAD);
        anew.restore(quarantine.record(RequestDigest.of(BAD)).orElseThrow());
        assertEquals(QuarantineStatus.UNRESTRICTED, anew.statusAtEntry(BAD));
        assertEquals(Optional.empty(), quarantine.record(RequestDigest.of(OTHER)));
    }

    @Test
    void forgetsWhatIsPastItsTime() {
        quarantine.recordCrash(OTHER, "u1");
        endThree();
        clock.advance(610 * SECOND);
        quarantine.sweep();
        assertEquals(3, quarantine.crashes(100).size());
        clock.advance(20 * SECOND);
        quarantine.sweep();
        assertEquals(List.of(), quarantine.crashes(100));
        assertEquals(QuarantineStatus.UNRESTRICTED, quarantine.statusAtEntry(BAD));
    }

    @Test
    void keepsWhatItHoldsBackInAFloodOfOthers() {
        endThree();
        int most = QuarantineSettings.standard().endsMost();
        for (int i = 0; i < 2 * most; i++) {
            clock.advance(1_000);
            quarantine.recordCrash(content("/flood/" + i, ""), "u9");
        }
        quarantine.sweep();
        assertTrue(quarantine.crashes(Integer.MAX_VALUE).size() <= most);
        assertInstanceOf(QuarantineStatus.Quarantined.class, quarantine.statusAtEntry(BAD));
    }

    private void endThree() {
        for (String upstream : List.of("u1", "u2", "u3")) {
            quarantine.recordCrash(BAD, upstream);
        }
    }

    private static void assertHeld(long seconds, QuarantineStatus standing) {
        assertEquals(
                seconds * SECOND,
                assertInstanceOf(QuarantineStatus.Quarantined.class, standing).nanos());
    }

    /** Names an upstream after its service and the turn. */
    private final class Turns implements Trials {
        @Override
        public Optional<String> upstream(RequestDigest request, String service, long turn) {
            return Optional.of(service + "-" + turn);
        }

        @Override
        public boolean here(RequestDigest request, long turn) {
            return turnsHere.contains(turn);
        }
    }

    private static Message.Content content(String path, String body) {
        return new Message.Content("POST", path, List.of(), body.getBytes(StandardCharsets.UTF_8));
    }
}
