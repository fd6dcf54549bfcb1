package org.verbenadyke.kernel.core;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.log.LogEpoch;
import org.verbenadyke.kernel.log.LogService;
import org.verbenadyke.kernel.log.RecordCodec;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.quarantine.QuarantinedRequest;
import org.verbenadyke.kernel.quarantine.RequestDigest;
import org.verbenadyke.kernel.route.RoutePlanStore;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.time.VirtualTimerService;
import org.verbenadyke.kernel.trace.Decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests {@link MemberLog}. */
final class MemberLogTest {
    private static final String UNREADABLE = "unreadable";
    private static final QuarantinedRequest HELD = new QuarantinedRequest(new RequestDigest(1, 2, 3), List.of());
    private static final long HOUR_NANOS = 3_600_000_000_000L;
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final Counters counters = Counters.create();
    private final List<Decision> decisions = new ArrayList<>();
    private final List<String> learned = new ArrayList<>();
    private final PagedLog log = new PagedLog();
    private final Node node = new Node();
    private long spreadNanos;

    @Test
    void learnsTheMembersBesideARecordThatCanNotBeRead() {
        log.page(record("a", "a"), record("b", UNREADABLE), record("c", "c"));
        start();
        assertEquals(List.of("a", "c"), learned);
        assertEquals(1, counters.events(Event.RECORD_SKIPPED));
        Decision.RecordSkipped noted = (Decision.RecordSkipped) decisions.get(0);
        assertEquals("members", noted.source());
        assertEquals("b", noted.key());
    }

    @Test
    void learnsNobodyFromARecordUnderTheKeyOfAnother() {
        log.page(record("a", "a"), record("b", "c"), record("", "d"), record("e", "e"));
        start();
        assertEquals(List.of("a", "e"), learned);
        assertEquals(2, counters.events(Event.RECORD_SKIPPED));
    }

    @Test
    void restoresWhatWasHeldBackFromBesideTheMembers() {
        log.page(record("a", "a"), record(HELD.key(), HELD.key()), record("b", HELD.key()), record("c", "c"));
        start();
        assertEquals(List.of("a", HELD.key(), "c"), learned);
        assertEquals(1, counters.events(Event.RECORD_SKIPPED));
    }

    @Test
    void learnsMembersFromALogWithoutKeys() {
        log.page(new LogService.LogRecord(0, Optional.empty(), bytes("a")));
        start();
        assertEquals(List.of("a"), learned);
    }

    @Test
    void readsOnPastARecordThatCanNotBeRead() {
        log.page(record("a", UNREADABLE));
        log.page(record("b", "b"));
        start();
        assertEquals(List.of("b"), learned);
        // The last read follows this node's own listing, since hardly anybody else is listed.
        assertEquals(List.of(0L, 1L, 2L, 2L), log.asked);
    }

    @Test
    void readsOnPastAPageOfWhichNothingIsLeft() {
        log.page();
        log.page(record("b", "b"));
        start();
        assertEquals(List.of("b"), learned);
    }

    @Test
    void listsItselfWhileFewOthersAreListedAndReadsAgainAfterwards() {
        log.page(record("a", "a"), record("b", "b"));
        start();
        assertEquals(1, log.appends);
        assertEquals(List.of(0L, 1L, 1L), log.asked);
        assertEquals(1, node.listings);
    }

    @Test
    void writesItsRecordAndReadsAllAgainWhenTheLogWasReplaced() {
        log.page(record("a", "a"), record("b", "b"));
        start();
        int appends = log.appends;
        log.asked.clear();
        log.replaced.replaced(5, 6);
        assertEquals(appends + 1, log.appends);
        clock.advance(SECOND_NANOS);
        assertEquals(0L, log.asked.getFirst());
    }

    @Test
    void writesNothingToALogThatWasReplacedWhenItIsNotListed() {
        log.complete = true;
        log.page(enough());
        node.heard = true;
        start();
        log.replaced.replaced(5, 6);
        clock.advance(SECOND_NANOS);
        assertEquals(0, log.appends);
        assertEquals(0L, log.asked.getLast());
    }

    @Test
    void spreadsTheFirstReadingAmongNodesThatStartTogether() {
        spreadNanos = SECOND_NANOS;
        log.page(enough());
        start();
        assertEquals(List.of(), log.asked);
        clock.advance(SECOND_NANOS);
        assertEquals(0L, log.asked.getFirst());
    }

    @Test
    void costsOneCallWhenEnoughOthersAreListedAndAnswer() {
        log.complete = true;
        log.page(enough());
        node.heard = true;
        start();
        clock.advance(10 * SECOND_NANOS);
        assertEquals(0, log.appends);
        assertEquals(List.of(0L), log.asked);
        assertEquals(0, node.listings);
    }

    @Test
    void listsItselfWhenNoneOfThoseListedAnswers() {
        log.page(enough());
        start();
        clock.advance(SECOND_NANOS);
        assertEquals(1, log.appends);
    }

    @Test
    void listsItselfWhenItBecomesAReader() {
        log.page(enough());
        node.heard = true;
        start();
        clock.advance(SECOND_NANOS);
        assertEquals(0, log.appends);
        node.reader = true;
        clock.advance(SECOND_NANOS);
        assertEquals(1, log.appends);
    }

    @Test
    void restsOnTheRecordOfAnEarlierStartAtTheSameAddress() {
        log.page(record("self", "self"), record("a", "a"));
        start();
        assertEquals(0, log.appends);
        assertEquals(1, node.listings);
    }

    @Test
    void saysThatItLeavesOnlyWhereItIsListed() {
        log.page(enough());
        node.heard = true;
        MemberLog unlisted = start();
        unlisted.leave();
        assertEquals(0, log.appends);
        log.pages.clear();
        MemberLog listed = start();
        assertEquals(1, log.appends);
        listed.leave();
        assertEquals(2, log.appends);
    }

    private static LogService.LogRecord[] enough() {
        return IntStream.range(0, MemberLog.LISTED_ENOUGH)
                .mapToObj(i -> record("n" + i, "n" + i))
                .toArray(LogService.LogRecord[]::new);
    }

    private MemberLog start() {
        CoreParts parts = new CoreParts(
                member("self"),
                List.of(),
                clock,
                (endpoint, handler) -> {},
                (to, message) -> {},
                log,
                new NameCodec(),
                new HeldNameCodec(),
                null,
                () -> new SplittableRandom(1),
                RoutePlanStore.disabled(),
                counters,
                Ledger.disabled(),
                decisions::add);
        MemberLog members = new MemberLog(parts, node);
        members.start(HOUR_NANOS, spreadNanos);
        return members;
    }

    private static LogService.LogRecord record(String key, String content) {
        return new LogService.LogRecord(0, Optional.of(key), bytes(content));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static MemberRecord member(String id) {
        Endpoint here = new Endpoint("127.0.0.1", 1);
        return new MemberRecord(id, 1, 0, MemberState.ALIVE, here, here, new Location("r", "d"), "", 0, 0);
    }

    /** Gives one page after the other, a record as long as an offset. */
    private static final class PagedLog implements LogService {
        private final List<List<LogRecord>> pages = new ArrayList<>();
        private final List<Long> asked = new ArrayList<>();
        private LogEpoch.Listener replaced;
        private boolean complete;
        private int appends;

        private void page(LogRecord... records) {
            pages.add(List.of(records));
        }

        @Override
        public void onReplaced(LogEpoch.Listener listener) {
            replaced = listener;
        }

        @Override
        public void append(String stream, String key, byte[] record, Consumer<AppendResult> taker) {
            appends++;
            taker.accept(new AppendResult.Appended(0));
        }

        @Override
        public void read(String stream, long fromOffset, long waitMillis, Consumer<ReadResult> taker) {
            asked.add(fromOffset);
            boolean written = fromOffset < pages.size();
            List<LogRecord> page = written ? pages.get((int) fromOffset) : List.of();
            taker.accept(new ReadResult.Records(0, fromOffset + (written ? 1 : 0), page, complete));
        }
    }

    /** A node of which the test says what it sees. */
    private final class Node implements MemberLog.Host {
        private boolean heard;
        private boolean reader;
        private int listings;

        @Override
        public MemberRecord self() {
            return member("self");
        }

        @Override
        public void learn(MemberRecord member) {
            learned.add(member.nodeId());
        }

        @Override
        public void restore(QuarantinedRequest held) {
            learned.add(held.key());
        }

        @Override
        public boolean heardAny() {
            return heard;
        }

        @Override
        public boolean reader() {
            return reader;
        }

        @Override
        public void listed() {
            listings++;
        }
    }

    /** Words a held request as its key. */
    private static final class HeldNameCodec implements RecordCodec<QuarantinedRequest> {
        @Override
        public byte[] encode(QuarantinedRequest record) {
            return bytes(record.key());
        }

        @Override
        public QuarantinedRequest decode(byte[] bytes) {
            String name = new String(bytes, StandardCharsets.UTF_8);
            if (!name.equals(HELD.key())) {
                throw VerbenadykeException.of(ErrorCode.FRAME_MALFORMED, name);
            }
            return HELD;
        }
    }

    /** Words a member as its name. */
    private static final class NameCodec implements RecordCodec<MemberRecord> {
        @Override
        public byte[] encode(MemberRecord record) {
            return bytes(record.nodeId());
        }

        @Override
        public MemberRecord decode(byte[] bytes) {
            String name = new String(bytes, StandardCharsets.UTF_8);
            if (name.equals(UNREADABLE) || name.equals(HELD.key())) {
                throw VerbenadykeException.of(ErrorCode.FRAME_MALFORMED, name);
            }
            return member(name);
        }
    }
}
