package org.verbenadyke.bench.lab;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.verbenadyke.kernel.follow.PlanSource;
import org.verbenadyke.kernel.time.TimerService;

/**
 * The operators' record in memory, on a virtual clock: versions in their order, long polls, and a history that may be
 * dropped. Documents hold nothing but their version.
 */
final class OperatorRecord {
    private static final long EPOCH = 1;
    private static final long CALL_NANOS = 4 * Lab.MILLI;

    /** How long a node waits for an answer beyond the long poll. */
    private static final long ANSWER_TIMEOUT_NANOS = 1_500 * Lab.MILLI;

    private final TimerService clock;
    private final List<Change> changes = new ArrayList<>();
    private final List<Poll> polls = new ArrayList<>();
    private long firstOffset;
    private long calls;
    private long deafUntilNanos;

    OperatorRecord(TimerService clock) {
        this.clock = clock;
    }

    /** Writes the next version; it counts as acknowledged at once. */
    void write() {
        changes.add(new Change(changes.size() + 1, clock.nanos()));
        if (clock.nanos() >= deafUntilNanos) {
            wakePolls();
        }
    }

    /** Lets pending reads miss all changes for a while, then drops the history and the connections that wait for it. */
    void dropHistory(long deafNanos) {
        deafUntilNanos = clock.nanos() + deafNanos;
        clock.after(deafNanos, () -> {
            firstOffset = changes.size();
            List<Poll> cut = List.copyOf(polls);
            polls.clear();
            cut.forEach(p -> p.call.answer(new PlanSource.Result.Failed("connection ended")));
        });
    }

    /** Returns the acknowledged changes, the oldest first. */
    List<Change> changes() {
        return changes;
    }

    long calls() {
        return calls;
    }

    /** Returns the record as one process sees it over its path. */
    PlanSource seenBy(ProcessTimers process, StorePath path) {
        return new PlanSource() {
            @Override
            public void newest(Consumer<Result> callback) {
                Call call = new Call(process, path, 0, callback);
                call.start(() -> call.answer(documents(Math.max(0, changes.size() - 1))));
            }

            @Override
            public void next(Position from, long waitMillis, Consumer<Result> callback) {
                Call call = new Call(process, path, waitMillis * Lab.MILLI, callback);
                call.start(() -> read(call, from.offset()));
            }
        };
    }

    private void read(Call call, long from) {
        if (from < firstOffset) {
            call.answer(new PlanSource.Result.Gone());
            return;
        }
        if (changes.size() > from) {
            call.answer(documents(from));
            return;
        }
        Poll poll = new Poll(call, from);
        polls.add(poll);
        clock.after(call.waitNanos, () -> {
            if (polls.remove(poll)) {
                call.answer(documents(from));
            }
        });
    }

    private void wakePolls() {
        List<Poll> due = polls.stream().filter(p -> changes.size() > p.from).toList();
        polls.removeAll(due);
        due.forEach(p -> p.call.answer(documents(p.from)));
    }

    private PlanSource.Result documents(long from) {
        List<byte[]> documents = changes.subList((int) from, changes.size()).stream()
                .map(c -> Long.toString(c.version()).getBytes(StandardCharsets.US_ASCII))
                .toList();
        return new PlanSource.Result.Documents(documents, new PlanSource.Position(EPOCH, changes.size()), true);
    }

    /**
     * An acknowledged change.
     *
     * @param version its version
     * @param ackedNanos when it was acknowledged, in nanoseconds
     */
    record Change(long version, long ackedNanos) {}

    /**
     * A read that waits for a record.
     *
     * @param call the call
     * @param from the offset of the record
     */
    private record Poll(Call call, long from) {}

    /**
     * One call of a process.
     */
    private final class Call {
        private final ProcessTimers process;
        private final StorePath path;
        private final long waitNanos;
        private final Consumer<PlanSource.Result> callback;
        private final int silences;
        private boolean finished;

        private Call(ProcessTimers process, StorePath path, long waitNanos, Consumer<PlanSource.Result> callback) {
            this.process = process;
            this.path = path;
            this.waitNanos = waitNanos;
            this.callback = callback;
            this.silences = path.silences();
        }

        void start(Runnable perform) {
            calls++;
            process.after(
                    waitNanos + ANSWER_TIMEOUT_NANOS, () -> finish(new PlanSource.Result.Failed("no answer in time")));
            if (path.state() == StorePath.State.OPEN) {
                clock.after(CALL_NANOS / 2, perform);
            } else if (path.state() == StorePath.State.REFUSING) {
                clock.after(CALL_NANOS, () -> deliver(new PlanSource.Result.Failed("status 503")));
            }
        }

        void answer(PlanSource.Result result) {
            clock.after(CALL_NANOS / 2, () -> deliver(result));
        }

        private void deliver(PlanSource.Result result) {
            if (path.silences() == silences) {
                process.run(() -> finish(result));
            }
        }

        private void finish(PlanSource.Result result) {
            if (!finished) {
                finished = true;
                callback.accept(result);
            }
        }
    }
}
