package org.verbenadyke.kernel.core;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.config.ConfigEntry;
import org.verbenadyke.kernel.departure.NodeDepartures;
import org.verbenadyke.kernel.engine.Policy;
import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.log.LogService;
import org.verbenadyke.kernel.log.RecordCodec;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.quarantine.QuarantinedRequest;
import org.verbenadyke.kernel.route.RoutePlanStore;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.time.Subscription;
import org.verbenadyke.kernel.time.TimerService;
import org.verbenadyke.kernel.trace.DecisionLog;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests the start of {@link NodeCore} while timers already run on another thread. */
final class NodeCoreStartTest {
    private static final Endpoint HERE = new Endpoint("127.0.0.1", 1);
    private static final int MAX_RUNS = 50;

    private final List<String> failures = new ArrayList<>();
    private int runs;

    @Test
    void toleratesTimersThatFireBeforeTheConstructorReturns() {
        Location location = new Location("r", "d");
        MemberRecord self = new MemberRecord("n", 1, 0, MemberState.ALIVE, HERE, HERE, location, "", 0, 0);
        NodeCore.start(
                new CoreParts(
                        self,
                        List.of(),
                        new EagerTimers(),
                        (endpoint, handler) -> {},
                        (to, message) -> {},
                        new NoLog(),
                        new NoCodec<MemberRecord>(),
                        new NoCodec<QuarantinedRequest>(),
                        new NoCodec<NodeDepartures>(),
                        new NoCodec<ConfigEntry>(),
                        () -> new SplittableRandom(1),
                        RoutePlanStore.disabled(),
                        Counters.create(),
                        Ledger.disabled(),
                        DecisionLog.none()),
                CoreSettings.withoutConfigLog(Policy.standard()));
        assertEquals(List.of(), failures);
    }

    /** Runs each task as soon as it is scheduled, as a timer thread concurrent with the starting thread may. */
    private final class EagerTimers implements TimerService {
        @Override
        public long nanos() {
            return 0;
        }

        @Override
        public long wallMillis() {
            return 0;
        }

        @Override
        public Subscription after(long delayNanos, Runnable task) {
            if (runs++ < MAX_RUNS) {
                try {
                    task.run();
                } catch (RuntimeException e) {
                    failures.add(e.toString());
                }
            }
            return () -> {};
        }

        @Override
        public Subscription every(long periodNanos, Runnable task) {
            return () -> {};
        }
    }

    /** A log that never answers. */
    private static final class NoLog implements LogService {
        @Override
        public void append(String stream, String key, byte[] record, Consumer<AppendResult> callback) {
            // Never answers.
        }

        @Override
        public void read(String stream, long fromOffset, long waitMillis, Consumer<ReadResult> callback) {
            // Never answers.
        }
    }

    /**
     * A codec that must not be used for decoding.
     *
     * @param <T> the type of the records
     */
    private static final class NoCodec<T> implements RecordCodec<T> {
        @Override
        public byte[] encode(T record) {
            return new byte[0];
        }

        @Override
        public T decode(byte[] bytes) {
            throw new IllegalStateException("nothing is read");
        }
    }
}
