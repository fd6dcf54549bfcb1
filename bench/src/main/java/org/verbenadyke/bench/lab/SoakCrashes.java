package org.verbenadyke.bench.lab;

import java.util.List;

/**
 * Series of crashes in a randomised run: many nodes are killed at the same moment, while their upstreams are at work,
 * and start again at the same addresses within a fraction of the time that a request may take. Series overlap, and
 * other nodes are paused or lose connections at the same moment.
 */
final class SoakCrashes {
    private static final int ROUNDS_MOST = 4;
    private static final int SLOWEST = 40;
    private static final long ROUND_GAP_NANOS = 700 * Lab.MILLI;
    private static final long DOWN_LEAST_NANOS = 5 * Lab.MILLI;
    private static final long DOWN_SPREAD_NANOS = 800 * Lab.MILLI;
    private static final long ANNOUNCE_SPREAD_NANOS = 200 * Lab.MILLI;
    private static final long PAUSE_SPREAD_NANOS = 900 * Lab.MILLI;
    private static final int TROUBLES = 6;

    private final Lab lab;

    SoakCrashes(Lab lab) {
        this.lab = lab;
    }

    /** Begins a series; of the servers that crash, the given share loses its upstream too. */
    boolean series(double upstreamShare) {
        double share = lab.random().nextDouble();
        long length = 0;
        int rounds = 1 + lab.random().nextInt(ROUNDS_MOST);
        for (int i = 0; i < rounds; i++) {
            length += lab.random().nextLong(ROUND_GAP_NANOS);
            lab.world().after(length, () -> round(share, upstreamShare));
        }
        slow(length);
        return true;
    }

    /** Makes filings last, so that many are under way when their node crashes. */
    private void slow(long length) {
        List<LabServer> desks = lab.servers("permit-desk");
        double factor = 1 + lab.random().nextInt(SLOWEST);
        desks.forEach(s -> s.upstream().slow(factor));
        lab.world().after(length, () -> desks.forEach(s -> s.upstream().slow(1)));
    }

    private void round(double share, double upstreamShare) {
        for (LabServer s : lab.servers()) {
            if (s.up() && lab.random().nextDouble() < share) {
                crash(s, lab.random().nextDouble() < upstreamShare);
            }
        }
        trouble();
    }

    private void crash(LabServer s, boolean upstreamToo) {
        lab.crashNode(s);
        if (upstreamToo) {
            s.upstream().kill();
        }
        long down = DOWN_LEAST_NANOS + lab.random().nextLong(DOWN_SPREAD_NANOS);
        long announced = Lab.MILLI + lab.random().nextLong(ANNOUNCE_SPREAD_NANOS);
        lab.world().after(down, () -> lab.restartNode(s, announced));
    }

    private void trouble() {
        switch (lab.random().nextInt(TROUBLES)) {
            case 0, 1 -> pauseOthers();
            case 2 -> lab.net().sever(lab.random().nextDouble());
            case 3 -> lab.net().silence(lab.random().nextDouble());
            default -> {
                // The crash alone.
            }
        }
    }

    private void pauseOthers() {
        double share = lab.random().nextDouble();
        for (LabServer s : lab.servers()) {
            if (s.working() && lab.random().nextDouble() < share) {
                NodeTimers process = s.node().process();
                process.pause();
                lab.world().after(lab.random().nextLong(PAUSE_SPREAD_NANOS), process::resume);
            }
        }
    }
}
