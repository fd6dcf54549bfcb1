package org.verbenadyke.kernel.core;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.departure.NodeDepartures;
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
    private static final QuarantinedRequest QUARANTINED = new QuarantinedRequest(new RequestDigest(1, 2, 3), List.of());
    private static final NodeDepartures DEPARTED = NodeDepartures.none("gone");
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
    void skipsAnUnreadableRecordAndLearnsTheOthers() {
        log.page(record("a", "a"), record("b", UNREADABLE), record("c", "c"));
        start();
        assertEquals(List.of("a", "c"), learned);
        assertEquals(1, counters.events(Event.RECORD_SKIPPED));
        Decision.RecordSkipped skipped = (Decision.RecordSkipped) decisions.get(0);
        assertEquals("members", skipped.source());
        assertEquals("b", skipped.key());
    }

    @Test
    void skipsARecordUnderTheKeyOfAnotherMember() {
        log.page(record("a", "a"), record("b", "c"), record("", "d"), record("e", "e"));
        start();
        assertEquals(List.of("a", "e"), learned);
        assertEquals(2, counters.events(Event.RECORD_SKIPPED));
    }

    @Test
    void restoresDeparturesStoredAmongTheMembers() {
        log.page(
                record("a", "a"),
                record(DEPARTED.key(), DEPARTED.key()),
                record("departed-other", DEPARTED.key()),
                record("b", "b"));
        start();
        assertEquals(List.of("a", DEPARTED.key(), "b"), learned);
        assertEquals(1, counters.events(Event.RECORD_SKIPPED));
        assertEquals(1, node.completeReads);
    }

    @Test
    void restoresQuarantinedRequestsStoredAmongTheMembers() {
        log.page(
                record("a", "a"),
                record(QUARANTINED.key(), QUARANTINED.key()),
                record("b", QUARANTINED.key()),
                record("c", "c"));
        start();
        assertEquals(List.of("a", QUARANTINED.key(), "c"), learned);
        assertEquals(1, counters.events(Event.RECORD_SKIPPED));
    }

    @Test
    void learnsMembersFromALogWithoutKeys() {
        log.page(new LogService.LogRecord(0, Optional.empty(), bytes("a")));
        start();
        assertEquals(List.of("a"), learned);
    }

    @Test
    void readsThePagesAfterAnUnreadableRecord() {
        log.page(record("a", UNREADABLE));
        log.page(record("b", "b"));
        start();
        assertEquals(List.of("b"), learned);
        // The last read follows this node's own registration, since hardly any other node is registered.
        assertEquals(List.of(0L, 1L, 2L, 2L), log.readOffsets);
    }

    @Test
    void readsThePagesAfterAnEmptyPage() {
        log.page();
        log.page(record("b", "b"));
        start();
        assertEquals(List.of("b"), learned);
    }

    @Test
    void registersWhileFewOthersAreRegisteredAndReadsAgain() {
        log.page(record("a", "a"), record("b", "b"));
        start();
        assertEquals(1, log.appends);
        assertEquals(List.of(0L, 1L, 1L), log.readOffsets);
        assertEquals(1, node.registrations);
    }

    @Test
    void writesItsRecordAndRereadsAllWhenTheLogWasReplaced() {
        log.page(record("a", "a"), record("b", "b"));
        start();
        int appends = log.appends;
        log.readOffsets.clear();
        log.replaced.replaced(5, 6);
        assertEquals(appends + 1, log.appends);
        clock.advance(SECOND_NANOS);
        assertEquals(0L, log.readOffsets.getFirst());
    }

    @Test
    void writesNothingToAReplacedLogWhenNotRegistered() {
        log.complete = true;
        log.page(enoughRegistered());
        node.receivedAny = true;
        start();
        log.replaced.replaced(5, 6);
        clock.advance(SECOND_NANOS);
        assertEquals(0, log.appends);
        assertEquals(0L, log.readOffsets.getLast());
    }

    @Test
    void delaysTheFirstReadAtRandomWithinTheSpread() {
        spreadNanos = SECOND_NANOS;
        log.page(enoughRegistered());
        start();
        assertEquals(List.of(), log.readOffsets);
        clock.advance(SECOND_NANOS);
        assertEquals(0L, log.readOffsets.getFirst());
    }

    @Test
    void makesOneCallWhenEnoughOthersAreRegisteredAndAnswer() {
        log.complete = true;
        log.page(enoughRegistered());
        node.receivedAny = true;
        start();
        clock.advance(10 * SECOND_NANOS);
        assertEquals(0, log.appends);
        assertEquals(List.of(0L), log.readOffsets);
        assertEquals(0, node.registrations);
    }

    @Test
    void registersWhenNoRegisteredNodeAnswers() {
        log.page(enoughRegistered());
        start();
        clock.advance(SECOND_NANOS);
        assertEquals(1, log.appends);
    }

    @Test
    void registersWhenItBecomesAFollower() {
        log.page(enoughRegistered());
        node.receivedAny = true;
        start();
        clock.advance(SECOND_NANOS);
        assertEquals(0, log.appends);
        node.follower = true;
        clock.advance(SECOND_NANOS);
        assertEquals(1, log.appends);
    }

    @Test
    void reusesTheRecordOfAnEarlierStartAtTheSameAddress() {
        log.page(record("self", "self"), record("a", "a"));
        start();
        assertEquals(0, log.appends);
        assertEquals(1, node.registrations);
    }

    /** Starting nodes would no longer find a follower whose record another writer has replaced. */
    @Test
    void writesItsRecordAgainWhenAnotherWriterReplacedIt() {
        node.follower = true;
        start();
        assertEquals(1, log.appends);
        log.page(record("self", UNREADABLE), record("self", "a"));
        clock.advance(90 * SECOND_NANOS);
        assertEquals(2, log.appends);
        log.page(record("self", UNREADABLE), record("self", "self"));
        clock.advance(90 * SECOND_NANOS);
        assertEquals(2, log.appends);
    }

    @Test
    void recordsItsDepartureOnlyWhenRegistered() {
        log.page(enoughRegistered());
        node.receivedAny = true;
        MemberLog unregistered = start();
        unregistered.leave();
        assertEquals(0, log.appends);
        log.pages.clear();
        MemberLog registeredLog = start();
        assertEquals(1, log.appends);
        registeredLog.leave();
        assertEquals(2, log.appends);
    }

    private static LogService.LogRecord[] enoughRegistered() {
        return IntStream.range(0, MemberLog.ENOUGH_REGISTERED)
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
                new QuarantineKeyCodec(),
                new DepartureKeyCodec(),
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

    /** Returns one page after the other; each page advances the offset by one. */
    private static final class PagedLog implements LogService {
        private final List<List<LogRecord>> pages = new ArrayList<>();
        private final List<Long> readOffsets = new ArrayList<>();
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
        public void append(String stream, String key, byte[] record, Consumer<AppendResult> callback) {
            appends++;
            callback.accept(new AppendResult.Appended(0));
        }

        @Override
        public void read(String stream, long fromOffset, long waitMillis, Consumer<ReadResult> callback) {
            readOffsets.add(fromOffset);
            boolean written = fromOffset < pages.size();
            List<LogRecord> page = written ? pages.get((int) fromOffset) : List.of();
            callback.accept(new ReadResult.Records(0, fromOffset + (written ? 1 : 0), page, complete));
        }
    }

    /** A node whose state the test sets. */
    private final class Node implements MemberLog.Host {
        private boolean receivedAny;
        private boolean follower;
        private int registrations;
        private int completeReads;

        @Override
        public MemberRecord self() {
            return member("self");
        }

        @Override
        public void learn(MemberRecord member) {
            learned.add(member.nodeId());
        }

        @Override
        public void restore(QuarantinedRequest quarantined) {
            learned.add(quarantined.key());
        }

        @Override
        public void restore(NodeDepartures departures) {
            learned.add(departures.key());
        }

        @Override
        public void readComplete() {
            completeReads++;
        }

        @Override
        public boolean receivedAny() {
            return receivedAny;
        }

        @Override
        public boolean isFollower() {
            return follower;
        }

        @Override
        public void registered() {
            registrations++;
        }
    }

    /** Encodes a quarantined request as its key. */
    private static final class QuarantineKeyCodec implements RecordCodec<QuarantinedRequest> {
        @Override
        public byte[] encode(QuarantinedRequest record) {
            return bytes(record.key());
        }

        @Override
        public QuarantinedRequest decode(byte[] bytes) {
            String name = new String(bytes, StandardCharsets.UTF_8);
            if (!name.equals(QUARANTINED.key())) {
                throw VerbenadykeException.of(ErrorCode.FRAME_MALFORMED, name);
            }
            return QUARANTINED;
        }
    }

    /** Encodes departures as their key. */
    private static final class DepartureKeyCodec implements RecordCodec<NodeDepartures> {
        @Override
        public byte[] encode(NodeDepartures record) {
            return bytes(record.key());
        }

        @Override
        public NodeDepartures decode(byte[] bytes) {
            String name = new String(bytes, StandardCharsets.UTF_8);
            if (!name.equals(DEPARTED.key())) {
                throw VerbenadykeException.of(ErrorCode.FRAME_MALFORMED, name);
            }
            return DEPARTED;
        }
    }

    /** Encodes a member as its name. */
    private static final class NameCodec implements RecordCodec<MemberRecord> {
        @Override
        public byte[] encode(MemberRecord record) {
            return bytes(record.nodeId());
        }

        @Override
        public MemberRecord decode(byte[] bytes) {
            String name = new String(bytes, StandardCharsets.UTF_8);
            if (name.equals(UNREADABLE) || name.equals(QUARANTINED.key()) || name.equals(DEPARTED.key())) {
                throw VerbenadykeException.of(ErrorCode.FRAME_MALFORMED, name);
            }
            return member(name);
        }
    }
}
