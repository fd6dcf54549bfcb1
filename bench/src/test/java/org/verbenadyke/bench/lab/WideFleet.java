package org.verbenadyke.bench.lab;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.verbenadyke.kernel.admission.GateSettings;
import org.verbenadyke.kernel.admission.QueueOrder;
import org.verbenadyke.kernel.call.AnswerSink;
import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.core.CoreSettings;
import org.verbenadyke.kernel.dispatch.DispatchSettings;
import org.verbenadyke.kernel.engine.Policy;
import org.verbenadyke.kernel.engine.RoutedRequest;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.routing.Place;

/**
 * Many nodes, each with few requests of its own: lookups of least importance and filings of most importance, both of
 * which make eight calls to the few upstreams of the deepest service. Half the nodes and half the load of a fleet of
 * about ninety, so that each node sees as many requests a second as there.
 */
final class WideFleet {
    private static final List<Place> PLACES =
            List.of(new Place("r", "dc-1"), new Place("r", "dc-2"), new Place("r", "dc-3"));
    private static final double[] SPEEDS = {0.6, 1.0, 1.4};
    private static final int WIDE_SLOTS = 76;
    private static final int DEEP_SLOTS = 153;
    private static final int FAILED_FROM = 300;
    private static final long WARM_UP = 3 * Lab.SECOND;
    private static final double LOOKUPS = 413;
    private static final double FILINGS = 157;
    private static final double READS = 118;
    private static final double DOWNLOADS = 77;

    private static final FleetOperation GEO = FleetOperation.of("geo", "survey-view", 110, 300, 700);
    private static final FleetOperation MANIFEST =
            FleetOperation.of("manifest", "log-archive", 15, 800, 2_000).calling(4, GEO, false);
    private static final FleetOperation STATUS =
            FleetOperation.of("status", "permit-desk", 15, 1_000, 2_500).calling(1, MANIFEST, false);
    private static final FleetOperation LOOKUP =
            FleetOperation.of("lookup", "well-index", 450, 2_000, 2_500).calling(2, STATUS, true);
    private static final FleetOperation FILING = FleetOperation.of("filing", "permit-desk", 580, 2_500, 3_000)
            .calling(2, MANIFEST, true)
            .atMostOnce();
    private static final FleetOperation DOWNLOAD = FleetOperation.of("download", "log-archive", 361, 1_204, 5_000);
    private static final FleetOperation READ = FleetOperation.of("read", "survey-view", 180, 600, 1_200);

    private final Lab lab;
    private final Map<Importance, Tally> tallies = new EnumMap<>(Importance.class);
    private final Tally downloads = new Tally();
    private final double times;
    private long numbers;

    private WideFleet(long seed, double times) {
        this.times = times;
        this.lab = Lab.create(seed, CoreSettings.with(policy()), false);
        for (Importance i : Importance.values()) {
            tallies.put(i, new Tally());
        }
        lab.add(ServiceSpec.of("well-index", 22, WIDE_SLOTS, 1), PLACES);
        lab.add(ServiceSpec.of("permit-desk", 15, WIDE_SLOTS, 1), PLACES);
        lab.add(ServiceSpec.of("log-archive", 5, DEEP_SLOTS, 1), PLACES);
        lab.add(ServiceSpec.of("survey-view", 3, DEEP_SLOTS, 1), PLACES);
        lab.startAll();
        lab.advance(Lab.SECOND);
        Map<String, FleetOperation> operations = Stream.of(GEO, MANIFEST, STATUS, LOOKUP, FILING, READ, DOWNLOAD)
                .collect(Collectors.toMap(FleetOperation::name, Function.identity()));
        int at = 0;
        for (LabServer s : lab.servers()) {
            double speed = SPEEDS[at++ % SPEEDS.length];
            FleetUpstream upstream = new FleetUpstream(s.node(), operations, lab.random(), speed);
            s.node().core().announce(s.spec().name(), upstream, s.spec().slots());
        }
        lab.advance(WARM_UP);
    }

    /** Lets a load, a multiple of the usual one, begin at once on a fleet that is at rest. */
    static Map<Importance, Tally> play(long seed, double times, long nanos) {
        WideFleet fleet = new WideFleet(seed, times);
        fleet.load(nanos, 0);
        return fleet.tallies;
    }

    /** The same with downloads of the least importance, which make no calls; returns what became of them. */
    static Tally downloads(long seed, double times, long nanos) {
        WideFleet fleet = new WideFleet(seed, times);
        fleet.load(nanos, DOWNLOADS);
        return fleet.downloads;
    }

    private void load(long nanos, double downloadsPerSecond) {
        long end = lab.world().nanos() + nanos;
        arrive(LOOKUP, Importance.LOW, tallies.get(Importance.LOW), LOOKUPS, end);
        arrive(READ, Importance.NORMAL, tallies.get(Importance.NORMAL), READS, end);
        arrive(FILING, Importance.HIGH, tallies.get(Importance.HIGH), FILINGS, end);
        if (downloadsPerSecond > 0) {
            arrive(DOWNLOAD, Importance.LOW, downloads, downloadsPerSecond, end);
        }
        lab.advance(nanos + 5 * Lab.SECOND);
    }

    /** As a node on few places with far more callers than it can serve decides. */
    static Policy policy() {
        Policy s = Policy.standard();
        return new Policy(
                "expected-finish",
                "fixed",
                s.subsetSize(),
                0,
                s.defaultTtlNanos(),
                s.keyRetentionNanos(),
                new GateSettings(true, 2, 8, 20 * Lab.MILLI, QueueOrder.DUE),
                s.limits(),
                new DispatchSettings(0.04, 2, false, 0, true, true, 300),
                s.serve(),
                s.link());
    }

    private void arrive(FleetOperation operation, Importance importance, Tally tally, double perSecond, long end) {
        long gap = (long) (-Math.log(1 - lab.random().nextDouble()) * Lab.SECOND / (perSecond * times));
        lab.world().after(gap, () -> {
            if (lab.world().nanos() < end) {
                new Asked(operation, importance, tally).send(false);
                arrive(operation, importance, tally, perSecond, end);
            }
        });
    }

    /**
     * What became of the requests of one importance.
     */
    static final class Tally {
        private final Map<String, Integer> ends = new TreeMap<>();
        private int asked;
        private int inTime;

        double share() {
            return asked == 0 ? 1 : (double) inTime / asked;
        }

        /** Returns the share that ran in part and came to nothing. */
        double failed() {
            return asked == 0 ? 0 : (double) ends.getOrDefault("failed", 0) / asked;
        }

        @Override
        public String toString() {
            return inTime + " of " + asked + " in time, ends " + ends;
        }
    }

    /**
     * One request of a caller, which comes back once when it is told to.
     */
    private final class Asked implements AnswerSink {
        private final FleetOperation operation;
        private final Importance importance;
        private final Tally tally;
        private final LabServer entry =
                lab.servers().get(lab.random().nextInt(lab.servers().size()));
        private final long since = lab.world().nanos();
        private final List<Integer> statuses = new ArrayList<>();
        private boolean back;

        private Asked(FleetOperation operation, Importance importance, Tally tally) {
            this.operation = operation;
            this.importance = importance;
            this.tally = tally;
            tally.asked++;
        }

        void send(boolean returning) {
            Message.Content content = new Message.Content(
                    operation.once() ? "POST" : "GET",
                    "/" + operation.name() + "/" + numbers++,
                    List.of(),
                    new byte[0]);
            RoutedRequest routed = new RoutedRequest(
                    operation.route(),
                    operation.service(),
                    content,
                    importance,
                    Optional.empty(),
                    5 * Lab.SECOND,
                    returning);
            entry.node().core().engine().enter(routed, this);
        }

        @Override
        public void head(int status, List<HeaderField> headers) {
            statuses.add(status);
        }

        @Override
        public void data(byte[] bytes) {
            // Only the status counts.
        }

        @Override
        public void end() {
            if (statuses.getLast() >= FAILED_FROM) {
                ended("failed");
                return;
            }
            boolean inTime = lab.world().nanos() - since <= operation.targetMillis() * Lab.MILLI;
            tally.inTime += inTime ? 1 : 0;
            ended(inTime ? "served" : "late");
        }

        @Override
        public void refused(Refusal refusal) {
            if (refusal.state() == RunState.NOT_RUN && !back) {
                back = true;
                lab.world().after(refusal.retryAfterMillis() * Lab.MILLI, () -> send(true));
                return;
            }
            ended(
                    refusal.state() == RunState.NOT_RUN
                            ? "refused " + refusal.reason().label()
                            : "failed");
        }

        @Override
        public void aborted() {
            ended("failed");
        }

        private void ended(String how) {
            tally.ends.merge(how, 1, Integer::sum);
        }
    }
}
