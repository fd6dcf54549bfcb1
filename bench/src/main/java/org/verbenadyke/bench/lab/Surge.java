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
 * Demand at twice the slowed chain's capacity for ten seconds, while callers send again at once, up to three times.
 */
final class Surge {
    private static final List<Location> PLACES =
            List.of(new Location("r", "dc-1"), new Location("r", "dc-2"), new Location("r", "dc-3"));
    private static final long WARM_UP = 6 * Lab.SECOND;
    private static final long LENGTH = 10 * Lab.SECOND;
    private static final long AFTER = 20 * Lab.SECOND;
    private static final long TTL = 2 * Lab.SECOND;
    private static final int RESENDS = 3;
    private static final double RECOVERED = 0.95;
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
        spec.services().forEach(s -> lab.add(s, PLACES));
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
        long begin = lab.world().nanos();
        surgeStart = begin + WARM_UP;
        long surgeEnd = surgeStart + LENGTH;
        demand(begin + WARM_UP + LENGTH + AFTER);
        lab.advance(WARM_UP);
        lab.servers(spec.deepest()).forEach(s -> s.upstream().slow(spec.slowFactor()));
        lab.advance(LENGTH);
        lab.servers(spec.deepest()).forEach(s -> s.upstream().slow(1));
        lab.advance(AFTER + 5 * Lab.SECOND);
        double goodput = (double) wholeInSurge * Lab.SECOND / LENGTH;
        return new SurgeReport(
                goodput,
                goodput / spec.capacity(),
                importantSent.isEmpty() ? 1 : (double) importantServed.size() / importantSent.size(),
                wasted(),
                attempts(),
                recovery(surgeEnd),
                sends,
                answers);
    }

    private void demand(long until) {
        long now = lab.world().nanos();
        if (now >= until) {
            return;
        }
        boolean surging = now >= surgeStart && now < surgeStart + LENGTH;
        send(draw(), "r" + sends, 0);
        double rate = surging ? spec.surgeRate() : spec.baseRate();
        long gap = (long) (-Math.log(1 - lab.random().nextDouble()) * Lab.SECOND / rate);
        lab.world().after(gap, () -> demand(until));
    }

    private void send(LabRequest kind, String id, int resends) {
        long at = lab.world().nanos();
        boolean inSurge = at >= surgeStart && at < surgeStart + LENGTH;
        String logical = id.indexOf('.') < 0 ? id : id.substring(0, id.indexOf('.'));
        if (kind.important() && inSurge) {
            importantSent.add(logical);
        }
        sends++;
        LabServer entry = lab.servers().get(lab.random().nextInt(lab.servers().size()));
        String key = kind.once() ? Keys.at(lab) : "";
        caller.send(kind, id, key, TTL, entry, answer -> {
            answers.merge(answer.label(), 1, Integer::sum);
            if (answer instanceof LabAnswer.Whole) {
                whole(id, logical);
            } else if (resends < RESENDS) {
                send(kind, logical + "." + (resends + 1), resends + 1);
            }
        });
    }

    private void whole(String id, String logical) {
        long now = lab.world().nanos();
        succeeded.add(id);
        importantServed.add(logical);
        importantServed.retainAll(importantSent);
        wholePerBucket.merge(bucket(now), 1, Integer::sum);
        if (now >= surgeStart && now < surgeStart + LENGTH) {
            wholeInSurge++;
        }
    }

    private double wasted() {
        long all = 0;
        long lost = 0;
        for (Map.Entry<String, Integer> e : lab.effects().runs(spec.deepest()).entrySet()) {
            all += e.getValue();
            lost += succeeded.contains(e.getKey()) ? e.getValue() - 1 : e.getValue();
        }
        return (double) lost / Math.max(1, all);
    }

    private double attempts() {
        Map<String, Integer> runs = lab.effects().runs(spec.deepest());
        long all = runs.values().stream().mapToLong(Integer::longValue).sum();
        return (double) all / Math.max(1, runs.size());
    }

    private double recovery(long surgeEnd) {
        double wanted = spec.baseRate() / BUCKETS_PER_SECOND * RECOVERED;
        int first = bucket(surgeEnd) + 1;
        int last = bucket(surgeEnd + AFTER) - STEADY_BUCKETS;
        for (int b = first; b < last; b++) {
            int sum = 0;
            for (int i = 0; i < STEADY_BUCKETS; i++) {
                sum += wholePerBucket.getOrDefault(b + i, 0);
            }
            if (sum >= wanted * STEADY_BUCKETS) {
                return (double) (b - first + 1) / BUCKETS_PER_SECOND;
            }
        }
        return -1;
    }

    private static int bucket(long nanos) {
        return (int) (nanos * BUCKETS_PER_SECOND / Lab.SECOND);
    }

    private LabRequest draw() {
        double d = lab.random().nextDouble();
        List<LabRequest> all = new ArrayList<>(spec.requests());
        for (LabRequest kind : all) {
            d -= kind.share();
            if (d < 0) {
                return kind;
            }
        }
        return all.getLast();
    }
}
