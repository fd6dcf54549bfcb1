package org.verbenadyke.bench.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.verbenadyke.kernel.config.ConfigEntry;
import org.verbenadyke.kernel.config.Configuration;
import org.verbenadyke.kernel.core.CoreSettings;
import org.verbenadyke.kernel.engine.Policy;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.routing.Location;

/**
 * Measurements of the control path: a drain, a change of configuration, an outage of the log, silent connections.
 */
final class ControlPath {
    private static final int DATA_CENTRES = 3;
    private static final long STEP_NANOS = 10 * Lab.MILLI;
    private static final long MAX_WAIT_NANOS = 60 * Lab.SECOND;
    private static final int REQUESTS_PER_SECOND = 200;
    private static final long TTL_NANOS = 3 * Lab.SECOND;

    private ControlPath() {}

    /** Creates a service with the given number of servers and lets the nodes discover each other. */
    private static Lab createLab(int servers, long seed) {
        Lab lab = Lab.create(seed, CoreSettings.with(Policy.standard()), false);
        List<Location> locations = new ArrayList<>();
        for (int i = 0; i < DATA_CENTRES; i++) {
            locations.add(new Location("r", "dc-" + i));
        }
        lab.add(ServiceSpec.of("desk", servers, 50, 4, Operation.of("read"), Operation.once("write")), locations);
        lab.startAll();
        lab.advance(6 * Lab.SECOND);
        return lab;
    }

    /** Measures for how long a draining upstream still receives calls. */
    static Map<String, Object> drain(int servers, boolean logDown, long seed) {
        Lab lab = createLab(servers, seed);
        lab.log().outage(logDown);
        Load load = new Load(lab, REQUESTS_PER_SECOND * servers / 8);
        load.run(2 * Lab.SECOND);
        LabServer leaving = lab.servers().getFirst();
        leaving.setLeaving(true);
        long start = lab.clock().nanos();
        leaving.node().core().drain();
        long before = leaving.node().counters().events(Event.CALL_IN);
        long last = start;
        for (long t = 0; t < 4 * Lab.SECOND; t += STEP_NANOS) {
            load.run(STEP_NANOS);
            long now = leaving.node().counters().events(Event.CALL_IN);
            if (now > before) {
                before = now;
                last = lab.clock().nanos();
            }
        }
        lab.advance(5 * Lab.SECOND);
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("lastNewCallAfterMs", (last - start) / Lab.MILLI);
        figures.put("answers", load.answers);
        return figures;
    }

    /** Measures how long a confirmed change takes to be in force on every node. */
    static Map<String, Object> config(int servers, Consumer<Lab> fault, long seed) {
        Lab lab = createLab(servers, seed);
        fault.accept(lab);
        List<Long> times = new ArrayList<>();
        long bytesBefore = lab.net().bytesInDatagrams();
        long began = lab.clock().nanos();
        for (int i = 0; i < 10; i++) {
            times.add(confirmOne(lab, i));
            lab.advance(Lab.SECOND);
        }
        long seconds = Math.max(1, (lab.clock().nanos() - began) / Lab.SECOND);
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("inForceEverywhereMs", times);
        figures.put("gossipBytesPerNodeAndSecond", (lab.net().bytesInDatagrams() - bytesBefore) / seconds / servers);
        return figures;
    }

    private static long confirmOne(Lab lab, int i) {
        LabServer through = lab.servers().get(i % lab.servers().size());
        Configuration base = through.node().core().engine().configuration();
        ConfigEntry.Change change = new ConfigEntry.Change(
                "change-" + i,
                base.version(),
                i % 4,
                List.of(),
                Set.of(),
                "bench",
                lab.clock().wallMillis());
        long start = lab.clock().nanos();
        through.node().core().config().confirm(change, outcome -> {});
        while (lab.clock().nanos() - start < MAX_WAIT_NANOS) {
            lab.advance(STEP_NANOS / 2);
            boolean everywhere = lab.servers().stream()
                    .allMatch(s -> s.node().core().engine().configuration().version() > base.version());
            if (everywhere) {
                return (lab.clock().nanos() - start) / Lab.MILLI;
            }
        }
        return -1;
    }

    /** Measures goodput before, during and after an outage of the log, and the appends after the outage. */
    static Map<String, Object> outage(long seed) {
        Lab lab = createLab(24, seed);
        Load load = new Load(lab, REQUESTS_PER_SECOND);
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("goodputBefore", load.goodputShare(10 * Lab.SECOND));
        lab.log().outage(true);
        figures.put("goodputDuring", load.goodputShare(60 * Lab.SECOND));
        lab.kill(lab.servers().get(5));
        lab.advance(Lab.SECOND);
        lab.start(lab.servers().get(5));
        long started = lab.clock().nanos();
        LabServer newcomer = lab.servers().get(5);
        while (newcomer.node().core().members().present().size() < 24
                && lab.clock().nanos() - started < MAX_WAIT_NANOS) {
            lab.advance(STEP_NANOS);
        }
        figures.put("newcomerReadyDuringOutageMs", (lab.clock().nanos() - started) / Lab.MILLI);
        long appends = lab.log().appends();
        lab.log().outage(false);
        figures.put("goodputAfter", load.goodputShare(10 * Lab.SECOND));
        figures.put("appendsInTenSecondsAfter", lab.log().appends() - appends);
        return figures;
    }

    /** Measures how soon connections that silently stopped carrying data are detected. */
    static Map<String, Object> silent(long seed) {
        Lab lab = createLab(8, seed);
        Load load = new Load(lab, REQUESTS_PER_SECOND);
        load.run(3 * Lab.SECOND);
        long start = lab.clock().nanos();
        int silenced = lab.net().silence(1);
        long detectedAfter = -1;
        for (long t = 0; t < 4 * Lab.SECOND; t += STEP_NANOS) {
            load.run(STEP_NANOS);
            boolean detected = lab.servers().stream()
                            .mapToLong(s -> s.node().counters().events(Event.LINK_SILENT))
                            .sum()
                    > 0;
            if (detected && detectedAfter < 0) {
                detectedAfter = lab.clock().nanos() - start;
            }
        }
        lab.advance(6 * Lab.SECOND);
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("silenced", silenced);
        figures.put("firstFoundAfterMs", detectedAfter / Lab.MILLI);
        figures.put("sent", load.sent);
        figures.put("answers", load.answers);
        figures.put("doubled", load.writesRunTwice());
        figures.put("breaches", lab.breaches().size());
        return figures;
    }

    /**
     * Steady demand, one write to three reads.
     */
    private static final class Load {
        private final Lab lab;
        private final LabCaller caller;
        private final int requestsPerSecond;
        private final Map<String, Integer> answers = new LinkedHashMap<>();
        private final List<String> writes = new ArrayList<>();
        private double dueRequests;
        private long sent;

        private Load(Lab lab, int requestsPerSecond) {
            this.lab = lab;
            this.caller = new LabCaller(lab);
            this.requestsPerSecond = requestsPerSecond;
        }

        void run(long nanos) {
            long end = lab.clock().nanos() + nanos;
            while (lab.clock().nanos() < end) {
                long step = Math.min(STEP_NANOS, end - lab.clock().nanos());
                dueRequests += (double) requestsPerSecond * step / Lab.SECOND;
                while (dueRequests >= 1) {
                    dueRequests--;
                    send();
                }
                lab.advance(step);
            }
        }

        double goodputShare(long nanos) {
            int wholeBefore = answers.getOrDefault("whole", 0);
            long sentBefore = sent;
            run(nanos);
            return (double) (answers.getOrDefault("whole", 0) - wholeBefore) / (sent - sentBefore);
        }

        long writesRunTwice() {
            return writes.stream().filter(w -> lab.effects().effectCount(w) > 1).count();
        }

        private void send() {
            boolean write = sent % 4 == 0;
            String id = "l" + sent++;
            LabRequest kind = new LabRequest("any", write ? "desk/write" : "desk/read", write, 1, false);
            List<LabServer> entries =
                    lab.servers().stream().filter(LabServer::working).toList();
            LabServer entry = entries.get(lab.random().nextInt(entries.size()));
            String key = write ? Keys.at(lab) : "";
            if (write) {
                writes.add(id);
            }
            caller.send(kind, id, key, TTL_NANOS, entry, a -> answers.merge(a.label(), 1, Integer::sum));
        }
    }
}
