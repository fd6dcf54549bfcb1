package org.verbenadyke.bench.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.log.LogService;
import org.verbenadyke.kernel.time.TimerService;

/**
 * An in-memory log with outages, delays, replies lost after the append took effect, and retention.
 */
final class FakeLog {
    private static final long MILLI = 1_000_000L;
    private static final long TIMEOUT_NANOS = 2_000 * MILLI;
    private static final int BATCH = 500;

    private final TimerService clock;
    private final RandomGenerator random;
    private final Map<String, Stream> streams = new TreeMap<>();
    private boolean outage;
    private long slowNanos;
    private double lostAnswerShare;
    private int retention = Integer.MAX_VALUE;
    private long appends;

    FakeLog(TimerService clock, RandomGenerator random) {
        this.clock = clock;
        this.random = random;
    }

    void outage(boolean on) {
        outage = on;
    }

    void slow(long nanos) {
        slowNanos = nanos;
    }

    void loseAnswers(double share) {
        lostAnswerShare = share;
    }

    void retain(int maxRecords) {
        retention = maxRecords;
        streams.values().forEach(this::trim);
    }

    long appends() {
        return appends;
    }

    /** Returns the log service of one process; callbacks run in that process. */
    LogService seenBy(ProcessTimers process) {
        return new LogService() {
            @Override
            public void append(String stream, String key, byte[] record, Consumer<AppendResult> callback) {
                clock.after(delay(), () -> doAppend(stream, record, a -> process.run(() -> callback.accept(a))));
            }

            @Override
            public void read(String stream, long fromOffset, long waitMillis, Consumer<ReadResult> callback) {
                clock.after(
                        delay(),
                        () -> doRead(
                                stream,
                                fromOffset,
                                clock.nanos() + waitMillis * MILLI,
                                r -> process.run(() -> callback.accept(r))));
            }
        };
    }

    private long delay() {
        return MILLI + random.nextLong(2 * MILLI) + slowNanos;
    }

    private void doAppend(String name, byte[] record, Consumer<LogService.AppendResult> callback) {
        if (outage) {
            clock.after(delay(), () -> callback.accept(new LogService.AppendResult.Failed("outage")));
            return;
        }
        appends++;
        Stream stream = streams.computeIfAbsent(name, n -> new Stream());
        long offset = stream.next++;
        stream.records.put(offset, record);
        trim(stream);
        if (random.nextDouble() < lostAnswerShare) {
            clock.after(TIMEOUT_NANOS, () -> callback.accept(new LogService.AppendResult.Unknown("no answer")));
            return;
        }
        clock.after(delay(), () -> callback.accept(new LogService.AppendResult.Appended(offset)));
    }

    private void doRead(String name, long from, long until, Consumer<LogService.ReadResult> callback) {
        if (outage) {
            clock.after(delay(), () -> callback.accept(new LogService.ReadResult.Failed("outage")));
            return;
        }
        Stream stream = streams.computeIfAbsent(name, n -> new Stream());
        List<LogService.LogRecord> found = new ArrayList<>();
        stream.records.tailMap(from).forEach((o, b) -> {
            if (found.size() < BATCH) {
                found.add(new LogService.LogRecord(o, Optional.empty(), b));
            }
        });
        if (found.isEmpty() && clock.nanos() < until) {
            clock.after(10 * MILLI, () -> doRead(name, from, until, callback));
            return;
        }
        long first = stream.records.isEmpty() ? stream.next : stream.records.firstKey();
        long next = found.isEmpty() ? Math.max(from, first) : found.getLast().offset() + 1;
        clock.after(delay(), () -> callback.accept(new LogService.ReadResult.Records(first, next, found)));
    }

    private void trim(Stream stream) {
        while (stream.records.size() > retention) {
            stream.records.pollFirstEntry();
        }
    }

    /**
     * The records of one stream by offset.
     */
    private static final class Stream {
        private final TreeMap<Long, byte[]> records = new TreeMap<>();
        private long next;
    }
}
