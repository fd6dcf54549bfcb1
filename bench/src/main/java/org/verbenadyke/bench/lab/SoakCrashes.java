package org.verbenadyke.bench.lab;

import java.util.List;

/**
 * Series of crashes in a randomised run: many nodes are killed at the same moment, while their upstreams are working,
 * and restart at the same addresses within a fraction of the time that a request may take. Series overlap, and other
 * nodes are paused or lose connections at the same moment.
 */
final class SoakCrashes {
    private static final int MAX_ROUNDS = 4;
    private static final int MAX_SLOW_FACTOR = 40;
    private static final long MAX_ROUND_GAP_NANOS = 700 * Lab.MILLI;
    private static final long MIN_DOWN_NANOS = 5 * Lab.MILLI;
    private static final long DOWN_SPREAD_NANOS = 800 * Lab.MILLI;
    private static final long ANNOUNCE_SPREAD_NANOS = 200 * Lab.MILLI;
    private static final long MAX_PAUSE_NANOS = 900 * Lab.MILLI;
    private static final int EXTRA_FAULT_CASES = 6;

    private final Lab lab;

    SoakCrashes(Lab lab) {
        this.lab = lab;
    }

    /** Starts a series of crashes; the given share of the crashing servers loses its upstream as well. */
    boolean startSeries(double upstreamShare) {
        double share = lab.random().nextDouble();
        long length = 0;
        int rounds = 1 + lab.random().nextInt(MAX_ROUNDS);
        for (int i = 0; i < rounds; i++) {
            length += lab.random().nextLong(MAX_ROUND_GAP_NANOS);
            lab.clock().after(length, () -> crashRound(share, upstreamShare));
        }
        slowFilings(length);
        return true;
    }

    /** Slows filings down, so that many are in flight when their node crashes. */
    private void slowFilings(long length) {
        List<LabServer> permitDesks = lab.servers("permit-desk");
        double factor = 1 + lab.random().nextInt(MAX_SLOW_FACTOR);
        permitDesks.forEach(s -> s.upstream().slow(factor));
        lab.clock().after(length, () -> permitDesks.forEach(s -> s.upstream().slow(1)));
    }

    private void crashRound(double share, double upstreamShare) {
        for (LabServer s : lab.servers()) {
            if (s.up() && lab.random().nextDouble() < share) {
                crash(s, lab.random().nextDouble() < upstreamShare);
            }
        }
        injectExtraFault();
    }

    private void crash(LabServer s, boolean upstreamToo) {
        lab.crashNode(s);
        if (upstreamToo) {
            s.upstream().kill();
        }
        long downNanos = MIN_DOWN_NANOS + lab.random().nextLong(DOWN_SPREAD_NANOS);
        long announceNanos = Lab.MILLI + lab.random().nextLong(ANNOUNCE_SPREAD_NANOS);
        lab.clock().after(downNanos, () -> lab.restartNode(s, announceNanos));
    }

    private void injectExtraFault() {
        switch (lab.random().nextInt(EXTRA_FAULT_CASES)) {
            case 0, 1 -> pauseOthers();
            case 2 -> lab.net().sever(lab.random().nextDouble());
            case 3 -> lab.net().silence(lab.random().nextDouble());
            default -> {
                // No extra fault.
            }
        }
    }

    private void pauseOthers() {
        double share = lab.random().nextDouble();
        for (LabServer s : lab.servers()) {
            if (s.working() && lab.random().nextDouble() < share) {
                ProcessTimers process = s.node().process();
                process.pause();
                lab.clock().after(lab.random().nextLong(MAX_PAUSE_NANOS), process::resume);
            }
        }
    }
}
