package org.verbenadyke.bench.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.verbenadyke.kernel.core.CoreSettings;
import org.verbenadyke.kernel.engine.Policy;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.routing.Location;

/**
 * Measures the control traffic of a node and how it grows with the number of nodes and with events.
 */
final class ControlTraffic {
    private static final int[] NODE_COUNTS = {18, 72, 144};
    private static final int DATA_CENTRES = 18;
    private static final long IDLE_NANOS = 20 * Lab.SECOND;
    private static final long WARM_UP_NANOS = 40 * Lab.SECOND;
    private static final int EVENTS = 10;

    private ControlTraffic() {}

    static Map<String, Object> run(long seed) {
        Map<String, Object> figures = new LinkedHashMap<>();
        for (int n : NODE_COUNTS) {
            figures.put(n + " nodes", measure(n, seed));
        }
        return figures;
    }

    private static Map<String, Object> measure(int n, long seed) {
        Lab lab = Lab.create(seed, CoreSettings.with(Policy.standard()), false);
        List<Location> locations = new ArrayList<>();
        for (int i = 0; i < DATA_CENTRES; i++) {
            locations.add(new Location("r" + i % 5, "dc-" + i));
        }
        lab.add(ServiceSpec.of("s", n, 50, 4, Operation.of("read")), locations);
        lab.startAll();
        lab.advance(WARM_UP_NANOS);
        Map<String, Object> figures = new LinkedHashMap<>();
        long before = lab.net().bytesInDatagrams();
        lab.advance(IDLE_NANOS);
        long idle = lab.net().bytesInDatagrams() - before;
        figures.put("idleBytesPerNodeAndSecond", idle * Lab.SECOND / IDLE_NANOS / n);
        before = lab.net().bytesInDatagrams();
        long began = lab.clock().nanos();
        long slowest = 0;
        for (int i = 0; i < EVENTS; i++) {
            LabServer changed = lab.servers().get(i);
            long version = changed.node().core().self().version();
            changed.node().core().drain();
            slowest = Math.max(slowest, spreadNanos(lab, changed, version));
            lab.advance(5 * Lab.SECOND);
        }
        long busy = lab.net().bytesInDatagrams() - before;
        long share = idle * (lab.clock().nanos() - began) / IDLE_NANOS;
        figures.put("bytesPerNodeAndEvent", Math.max(0, busy - share) / EVENTS / n);
        figures.put("slowestSpreadMs", slowest / Lab.MILLI);
        figures.put(
                "converged",
                lab.servers().stream()
                                .mapToLong(s -> s.node().core().members().digest())
                                .distinct()
                                .count()
                        == 1);
        return figures;
    }

    private static long spreadNanos(Lab lab, LabServer changed, long version) {
        long start = lab.clock().nanos();
        while (!lab.servers().stream().allMatch(s -> hasReceived(s, changed, version))) {
            lab.advance(5 * Lab.MILLI);
        }
        return lab.clock().nanos() - start;
    }

    private static boolean hasReceived(LabServer s, LabServer changed, long version) {
        return s.node()
                .core()
                .members()
                .find(changed.id())
                .filter(r -> r.version() > version && r.state() == MemberState.DRAINING)
                .isPresent();
    }
}
