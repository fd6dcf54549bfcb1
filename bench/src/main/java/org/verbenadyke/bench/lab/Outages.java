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
 * The control path under trouble: a drain, a change of configuration, an outage of the log, silent connections.
 */
final class Outages {
    private static final int DATA_CENTRES = 3;
    private static final long STEP = 10 * Lab.MILLI;
    private static final long LONGEST = 60 * Lab.SECOND;
    private static final int RATE = 200;
    private static final long TTL = 3 * Lab.SECOND;

    private Outages() {}

    /** Creates a service with so many servers and lets them find each other. */
    private static Lab lab(int servers, long seed) {
        Lab lab = Lab.create(seed, CoreSettings.with(Policy.standard()), false);
        List<Location> places = new ArrayList<>();
        for (int i = 0; i < DATA_CENTRES; i++) {
            places.add(new Location("r", "dc-" + i));
        }
        lab.add(ServiceSpec.of("desk", servers, 50, 4, Operation.of("read"), Operation.once("write")), places);
        lab.startAll();
        lab.advance(6 * Lab.SECOND);
        return lab;
    }

    /** Measures how long a draining upstream still gets calls. */
    static Map<String, Object> drain(int servers, boolean logDown, long seed) {
        Lab lab = lab(servers, seed);
        lab.log().outage(logDown);
        Load load = new Load(lab, RATE * servers / 8);
        load.run(2 * Lab.SECOND);
        LabServer leaving = lab.servers().getFirst();
        leaving.leaving(true);
        long start = lab.world().nanos();
        leaving.node().core().drain();
        long before = leaving.node().counters().events(Event.CALL_IN);
        long last = start;
        for (long t = 0; t < 4 * Lab.SECOND; t += STEP) {
            load.run(STEP);
            long now = leaving.node().counters().events(Event.CALL_IN);
            if (now > before) {
                before = now;
                last = lab.world().nanos();
            }
        }
        lab.advance(5 * Lab.SECOND);
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("lastNewCallAfterMs", (last - start) / Lab.MILLI);
        figures.put("answers", load.answers);
        return figures;
    }

    /** Measures how long a confirmed change takes to be in force on every node. */
    static Map<String, Object> config(int servers, Consumer<Lab> trouble, long seed) {
        Lab lab = lab(servers, seed);
        trouble.accept(lab);
        List<Long> times = new ArrayList<>();
        long control = lab.net().bytesInDatagrams();
        long began = lab.world().nanos();
        for (int i = 0; i < 10; i++) {
            times.add(confirmOne(lab, i));
            lab.advance(Lab.SECOND);
        }
        long seconds = Math.max(1, (lab.world().nanos() - began) / Lab.SECOND);
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("inForceEverywhereMs", times);
        figures.put("gossipBytesPerNodeAndSecond", (lab.net().bytesInDatagrams() - control) / seconds / servers);
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
                lab.world().wallMillis());
        long start = lab.world().nanos();
        through.node().core().config().confirm(change, outcome -> {});
        while (lab.world().nanos() - start < LONGEST) {
            lab.advance(STEP / 2);
            boolean everywhere = lab.servers().stream()
                    .allMatch(s -> s.node().core().engine().configuration().version() > base.version());
            if (everywhere) {
                return (lab.world().nanos() - start) / Lab.MILLI;
            }
        }
        return -1;
    }

    /** Measures goodput through an outage of the log and what the log gets at its end. */
    static Map<String, Object> outage(long seed) {
        Lab lab = lab(24, seed);
        Load load = new Load(lab, RATE);
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("goodputBefore", load.share(10 * Lab.SECOND));
        lab.log().outage(true);
        figures.put("goodputDuring", load.share(60 * Lab.SECOND));
        lab.kill(lab.servers().get(5));
        lab.advance(Lab.SECOND);
        lab.start(lab.servers().get(5));
        long started = lab.world().nanos();
        LabServer newcomer = lab.servers().get(5);
        while (newcomer.node().core().members().present().size() < 24
                && lab.world().nanos() - started < LONGEST) {
            lab.advance(STEP);
        }
        figures.put("newcomerReadyDuringOutageMs", (lab.world().nanos() - started) / Lab.MILLI);
        long appends = lab.log().appends();
        lab.log().outage(false);
        figures.put("goodputAfter", load.share(10 * Lab.SECOND));
        figures.put("appendsInTenSecondsAfter", lab.log().appends() - appends);
        return figures;
    }

    /** Measures how connections that carry nothing any more are found. */
    static Map<String, Object> silent(long seed) {
        Lab lab = lab(8, seed);
        Load load = new Load(lab, RATE);
        load.run(3 * Lab.SECOND);
        long start = lab.world().nanos();
        int silenced = lab.net().silence(1);
        long found = -1;
        for (long t = 0; t < 4 * Lab.SECOND; t += STEP) {
            load.run(STEP);
            boolean all = lab.servers().stream()
                            .mapToLong(s -> s.node().counters().events(Event.LINK_SILENT))
                            .sum()
                    > 0;
            if (all && found < 0) {
                found = lab.world().nanos() - start;
            }
        }
        lab.advance(6 * Lab.SECOND);
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("silenced", silenced);
        figures.put("firstFoundAfterMs", found / Lab.MILLI);
        figures.put("sent", load.sent);
        figures.put("answers", load.answers);
        figures.put("doubled", load.doubled());
        figures.put("breaches", lab.breaches().size());
        return figures;
    }

    /**
     * A steady demand of reads and writes.
     */
    private static final class Load {
        private final Lab lab;
        private final LabCaller caller;
        private final int rate;
        private final Map<String, Integer> answers = new LinkedHashMap<>();
        private final List<String> writes = new ArrayList<>();
        private double owed;
        private long sent;

        private Load(Lab lab, int rate) {
            this.lab = lab;
            this.caller = new LabCaller(lab);
            this.rate = rate;
        }

        void run(long nanos) {
            long end = lab.world().nanos() + nanos;
            while (lab.world().nanos() < end) {
                long step = Math.min(STEP, end - lab.world().nanos());
                owed += (double) rate * step / Lab.SECOND;
                while (owed >= 1) {
                    owed--;
                    send();
                }
                lab.advance(step);
            }
        }

        double share(long nanos) {
            int wholeBefore = answers.getOrDefault("whole", 0);
            long sentBefore = sent;
            run(nanos);
            return (double) (answers.getOrDefault("whole", 0) - wholeBefore) / (sent - sentBefore);
        }

        long doubled() {
            return writes.stream().filter(w -> lab.effects().effects(w) > 1).count();
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
            caller.send(kind, id, key, TTL, entry, a -> answers.merge(a.label(), 1, Integer::sum));
        }
    }
}
