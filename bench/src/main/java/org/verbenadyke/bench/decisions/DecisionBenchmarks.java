package org.verbenadyke.bench.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.verbenadyke.kernel.admission.ConcurrencyLimit;
import org.verbenadyke.kernel.admission.FixedLimit;
import org.verbenadyke.kernel.admission.Gate;
import org.verbenadyke.kernel.admission.GateSettings;
import org.verbenadyke.kernel.admission.WaitingCall;
import org.verbenadyke.kernel.budget.RootBudget;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.message.Repetition;
import org.verbenadyke.kernel.once.SeenCalls;
import org.verbenadyke.kernel.routing.Choice;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.routing.RouteQuery;
import org.verbenadyke.kernel.routing.Router;
import org.verbenadyke.kernel.routing.TwoChoicesProvider;
import org.verbenadyke.kernel.routing.Upstream;
import org.verbenadyke.wire.FrameCodec;

/**
 * Measures single decisions, and how their time grows with the number of upstreams that a node knows.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 2, time = 300, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 3, time = 300, timeUnit = TimeUnit.MILLISECONDS)
@Fork(value = 1, jvmArgsAppend = "-XX:+UseSerialGC")
public class DecisionBenchmarks {
    private static final int BODY_BYTES = 200;

    /** The size of the routing table, as upstreams per service times services. */
    @Param({"40x1", "40x160", "400x16"})
    private String known;

    private Router router;
    private RouteQuery query;
    private Gate gate;
    private WaitingCall call;
    private SeenCalls seen;
    private Message.Call message;
    private byte[] frame;
    private long sequence;

    /** Creates the routing table, the admission gate and the encoded call. */
    @Setup
    public void fill() {
        int perService = Integer.parseInt(known.substring(0, known.indexOf('x')));
        int services = Integer.parseInt(known.substring(known.indexOf('x') + 1));
        Location location = new Location("r", "d");
        List<Upstream> upstreams = new ArrayList<>();
        for (int s = 0; s < services; s++) {
            for (int u = 0; u < perService; u++) {
                upstreams.add(new Upstream("s" + s + "-" + u, "s" + s, new Endpoint("10.0.0.1", 1), location));
            }
        }
        router = Router.create("me", location, 12, new TwoChoicesProvider().create(), ThreadLocalRandom::current, true);
        router.update(upstreams);
        query = new RouteQuery("s0", "GET /lookup", 300, "", Set.of(), 0);
        gate = Gate.of(GateSettings.standard(), FixedLimit.of(100));
        call = new AlwaysAdmitted();
        seen = SeenCalls.startingAt(0);
        message = new Message.Call(
                new CallId(1, 1),
                new RequestId(1, 1),
                new Message.Target("s0", "s0-1"),
                Importance.NORMAL,
                3,
                1_000_000,
                500_000,
                1,
                true,
                "",
                Message.Stated.NOTHING,
                false,
                Repetition.NONE,
                new Message.Content(
                        "GET", "/lookup?id=1", List.of(new HeaderField("accept", "*/*")), new byte[BODY_BYTES]));
        frame = FrameCodec.encode(message);
    }

    /**
     * Chooses an upstream.
     *
     * @return the choice
     */
    @Benchmark
    public Choice route() {
        return router.route(query, 1);
    }

    /** Admits a call and releases its slot. */
    @Benchmark
    public void admission() {
        gate.offer(call, 1);
        gate.release(1, 1, ConcurrencyLimit.Outcome.ANSWERED, 0);
    }

    /**
     * Creates a retry budget and takes one retry.
     *
     * @return whether it was granted
     */
    @Benchmark
    public boolean budget() {
        return RootBudget.of(2).take();
    }

    /**
     * Claims an attempt's id. The table of seen ids rotates as often as in a node at 266 calls per second.
     *
     * @return whether it was new
     */
    @Benchmark
    public boolean claim() {
        if (++sequence % 10_000 == 0) {
            seen.rotate(() -> 0);
        }
        return seen.claim(new CallId(1, sequence));
    }

    /**
     * Encodes a call.
     *
     * @return the frame
     */
    @Benchmark
    public byte[] encode() {
        return FrameCodec.encode(message);
    }

    /**
     * Decodes a call.
     *
     * @return the message
     */
    @Benchmark
    public Message decode() {
        return FrameCodec.decode(frame);
    }

    /**
     * A call that is always admitted.
     */
    private static final class AlwaysAdmitted implements WaitingCall {
        @Override
        public Importance importance() {
            return Importance.NORMAL;
        }

        @Override
        public int rank() {
            return 300;
        }

        @Override
        public int depth() {
            return 0;
        }

        @Override
        public long deadlineNanos() {
            return Long.MAX_VALUE;
        }

        @Override
        public void admitted() {
            // The benchmark releases the slot.
        }

        @Override
        public void shed(RefusalReason reason) {
            throw new IllegalStateException(reason.label());
        }
    }
}
