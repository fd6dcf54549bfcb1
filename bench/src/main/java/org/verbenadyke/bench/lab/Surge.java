package org.verbenadyke.bench.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.verbenadyke.kernel.config.Configuration;
import org.verbenadyke.kernel.core.CoreSettings;
import org.verbenadyke.kernel.engine.Policy;
import org.verbenadyke.kernel.routing.Location;

/**
 * Demand at twice the slowed chain's capacity for ten seconds. Callers resend a failed request immediately, up to three
 * times.
 */
final class Surge {
    private static final List<Location> LOCATIONS =
            List.of(new Location("r", "dc-1"), new Location("r", "dc-2"), new Location("r", "dc-3"));
    private static final long WARM_UP_NANOS = 6 * Lab.SECOND;
    private static final long LENGTH_NANOS = 10 * Lab.SECOND;
    private static final long AFTER_NANOS = 20 * Lab.SECOND;
    private static final long TTL_NANOS = 2 * Lab.SECOND;
    private static final int RESENDS = 3;
    private static final double RECOVERED_SHARE = 0.95;
    private static final int BUCKETS_PER_SECOND = 4;
    private static final int STEADY_BUCKETS = 4;

    private final SurgeSpec spec;
    private final Lab lab;
    private final LabCaller caller;
    private final Map<Integer, Integer> wholePerBucket = new HashMap<>();
    private final Set<String> succeeded = new HashSet<>();
    private final Set<String> importantSent = new HashSet<>();
    private final Set<String> importantServed = new HashSet<>();
    private final Map<String, Integer> answers = new TreeMap<>();
    private long sends;
    private long surgeStart;
    private int wholeInSurge;

    private Surge(SurgeSpec spec, Policy policy, long seed, boolean naive) {
        this.spec = spec;
        this.lab = Lab.create(seed, CoreSettings.with(policy), naive);
        spec.services().forEach(s -> lab.add(s, LOCATIONS));
        lab.startAll();
        lab.advance(2 * Lab.SECOND);
        lab.servers()
                .forEach(s -> s.node()
                        .core()
                        .engine()
                        .applyConfiguration(
                                new Configuration(1, Configuration.initial().retries(), spec.rules(), Set.of())));
        this.caller = new LabCaller(lab);
    }

    static SurgeReport run(SurgeSpec spec, Policy policy, long seed, boolean naive) {
        return new Surge(spec, policy, seed, naive).run();
    }

    private SurgeReport run() {
        long begin = lab.clock().nanos();
        surgeStart = begin + WARM_UP_NANOS;
        long surgeEnd = surgeStart + LENGTH_NANOS;
        generateLoad(begin + WARM_UP_NANOS + LENGTH_NANOS + AFTER_NANOS);
        lab.advance(WARM_UP_NANOS);
        lab.servers(spec.deepest()).forEach(s -> s.upstream().slow(spec.slowFactor()));
        lab.advance(LENGTH_NANOS);
        lab.servers(spec.deepest()).forEach(s -> s.upstream().slow(1));
        lab.advance(AFTER_NANOS + 5 * Lab.SECOND);
        double goodput = (double) wholeInSurge * Lab.SECOND / LENGTH_NANOS;
        return new SurgeReport(
                goodput,
                goodput / spec.capacity(),
                importantSent.isEmpty() ? 1 : (double) importantServed.size() / importantSent.size(),
                wastedShare(),
                attemptsPerRequest(),
                recoverySeconds(surgeEnd),
                sends,
                answers);
    }

    private void generateLoad(long until) {
        long now = lab.clock().nanos();
        if (now >= until) {
            return;
        }
        boolean surging = now >= surgeStart && now < surgeStart + LENGTH_NANOS;
        send(drawKind(), "r" + sends, 0);
        double rate = surging ? spec.surgeRate() : spec.baseRate();
        long gap = (long) (-Math.log(1 - lab.random().nextDouble()) * Lab.SECOND / rate);
        lab.clock().after(gap, () -> generateLoad(until));
    }

    private void send(LabRequest kind, String id, int resends) {
        long at = lab.clock().nanos();
        boolean inSurge = at >= surgeStart && at < surgeStart + LENGTH_NANOS;
        String requestId = id.indexOf('.') < 0 ? id : id.substring(0, id.indexOf('.'));
        if (kind.important() && inSurge) {
            importantSent.add(requestId);
        }
        sends++;
        LabServer entry = lab.servers().get(lab.random().nextInt(lab.servers().size()));
        String key = kind.once() ? Keys.at(lab) : "";
        caller.send(kind, id, key, TTL_NANOS, entry, answer -> {
            answers.merge(answer.label(), 1, Integer::sum);
            if (answer instanceof LabAnswer.Whole) {
                recordWhole(id, requestId);
            } else if (resends < RESENDS) {
                send(kind, requestId + "." + (resends + 1), resends + 1);
            }
        });
    }

    private void recordWhole(String id, String requestId) {
        long now = lab.clock().nanos();
        succeeded.add(id);
        importantServed.add(requestId);
        importantServed.retainAll(importantSent);
        wholePerBucket.merge(bucket(now), 1, Integer::sum);
        if (now >= surgeStart && now < surgeStart + LENGTH_NANOS) {
            wholeInSurge++;
        }
    }

    private double wastedShare() {
        long all = 0;
        long wasted = 0;
        for (Map.Entry<String, Integer> e : lab.effects().runs(spec.deepest()).entrySet()) {
            all += e.getValue();
            wasted += succeeded.contains(e.getKey()) ? e.getValue() - 1 : e.getValue();
        }
        return (double) wasted / Math.max(1, all);
    }

    private double attemptsPerRequest() {
        Map<String, Integer> runs = lab.effects().runs(spec.deepest());
        long all = runs.values().stream().mapToLong(Integer::longValue).sum();
        return (double) all / Math.max(1, runs.size());
    }

    private double recoverySeconds(long surgeEnd) {
        double target = spec.baseRate() / BUCKETS_PER_SECOND * RECOVERED_SHARE;
        int first = bucket(surgeEnd) + 1;
        int last = bucket(surgeEnd + AFTER_NANOS) - STEADY_BUCKETS;
        for (int b = first; b < last; b++) {
            int sum = 0;
            for (int i = 0; i < STEADY_BUCKETS; i++) {
                sum += wholePerBucket.getOrDefault(b + i, 0);
            }
            if (sum >= target * STEADY_BUCKETS) {
                return (double) (b - first + 1) / BUCKETS_PER_SECOND;
            }
        }
        return -1;
    }

    private static int bucket(long nanos) {
        return (int) (nanos * BUCKETS_PER_SECOND / Lab.SECOND);
    }

    private LabRequest drawKind() {
        double remaining = lab.random().nextDouble();
        List<LabRequest> all = new ArrayList<>(spec.requests());
        for (LabRequest kind : all) {
            remaining -= kind.share();
            if (remaining < 0) {
                return kind;
            }
        }
        return all.getLast();
    }
}
