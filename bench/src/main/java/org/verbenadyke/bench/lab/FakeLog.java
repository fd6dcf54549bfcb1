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
 * The log of the lab, with outages, slowness, answers lost after the append took effect, and retention.
 */
final class FakeLog {
    private static final long MILLI = 1_000_000L;
    private static final long TIMEOUT_NANOS = 2_000 * MILLI;
    private static final int BATCH = 500;

    private final TimerService world;
    private final RandomGenerator random;
    private final Map<String, Stream> streams = new TreeMap<>();
    private boolean outage;
    private long slowNanos;
    private double loss;
    private int retention = Integer.MAX_VALUE;
    private long appends;

    FakeLog(TimerService world, RandomGenerator random) {
        this.world = world;
        this.random = random;
    }

    void outage(boolean on) {
        outage = on;
    }

    void slow(long nanos) {
        slowNanos = nanos;
    }

    void loseAnswers(double share) {
        loss = share;
    }

    void retain(int most) {
        retention = most;
        streams.values().forEach(this::trim);
    }

    long appends() {
        return appends;
    }

    /** Returns the log as one process sees it. */
    LogService seenBy(NodeTimers process) {
        return new LogService() {
            @Override
            public void append(String stream, String key, byte[] record, Consumer<AppendResult> taker) {
                world.after(delay(), () -> doAppend(stream, record, a -> process.run(() -> taker.accept(a))));
            }

            @Override
            public void read(String stream, long fromOffset, long waitMillis, Consumer<ReadResult> taker) {
                world.after(
                        delay(),
                        () -> doRead(
                                stream,
                                fromOffset,
                                world.nanos() + waitMillis * MILLI,
                                r -> process.run(() -> taker.accept(r))));
            }
        };
    }

    private long delay() {
        return MILLI + random.nextLong(2 * MILLI) + slowNanos;
    }

    private void doAppend(String name, byte[] record, Consumer<LogService.AppendResult> taker) {
        if (outage) {
            world.after(delay(), () -> taker.accept(new LogService.AppendResult.Failed("outage")));
            return;
        }
        appends++;
        Stream stream = streams.computeIfAbsent(name, n -> new Stream());
        long offset = stream.next++;
        stream.records.put(offset, record);
        trim(stream);
        if (random.nextDouble() < loss) {
            world.after(TIMEOUT_NANOS, () -> taker.accept(new LogService.AppendResult.Unknown("no answer")));
            return;
        }
        world.after(delay(), () -> taker.accept(new LogService.AppendResult.Appended(offset)));
    }

    private void doRead(String name, long from, long until, Consumer<LogService.ReadResult> taker) {
        if (outage) {
            world.after(delay(), () -> taker.accept(new LogService.ReadResult.Failed("outage")));
            return;
        }
        Stream stream = streams.computeIfAbsent(name, n -> new Stream());
        List<LogService.LogRecord> found = new ArrayList<>();
        stream.records.tailMap(from).forEach((o, b) -> {
            if (found.size() < BATCH) {
                found.add(new LogService.LogRecord(o, Optional.empty(), b));
            }
        });
        if (found.isEmpty() && world.nanos() < until) {
            world.after(10 * MILLI, () -> doRead(name, from, until, taker));
            return;
        }
        long first = stream.records.isEmpty() ? stream.next : stream.records.firstKey();
        long next = found.isEmpty() ? Math.max(from, first) : found.getLast().offset() + 1;
        world.after(delay(), () -> taker.accept(new LogService.ReadResult.Records(first, next, found)));
    }

    private void trim(Stream stream) {
        while (stream.records.size() > retention) {
            stream.records.pollFirstEntry();
        }
    }

    /**
     * One stream.
     */
    private static final class Stream {
        private final TreeMap<Long, byte[]> records = new TreeMap<>();
        private long next;
    }
}
