package org.verbenadyke.bench.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.serve.UpstreamPort;

/**
 * One incarnation of an upstream that answers lookups after a random time, and crashes a moment after the start of a
 * request that its host says crashes it.
 */
final class CrashingUpstream implements UpstreamPort {
    private static final int OK = 200;
    private static final double WORK_MILLIS = 90;
    private static final double MILLIS_TO_CRASH = 100;

    private final ProcessTimers process;
    private final RandomGenerator random;
    private final Host host;
    private final List<Work> running = new ArrayList<>();
    private boolean crashed;

    CrashingUpstream(ProcessTimers process, RandomGenerator random, Host host) {
        this.process = process;
        this.random = random;
        this.host = host;
    }

    @Override
    public Exchange start(HandOver handOver, Listener listener) {
        Work work = new Work(listener);
        if (crashed) {
            process.after(Lab.MILLI / 2, listener::unreachable);
            return work;
        }
        running.add(work);
        if (host.crashesUpstream(handOver)) {
            process.after(millis(MILLIS_TO_CRASH), this::crash);
        } else {
            process.after(millis(WORK_MILLIS), work::answer);
        }
        return work;
    }

    /** Crashes; all requests in flight fail. */
    void crash() {
        if (crashed) {
            return;
        }
        crashed = true;
        List.copyOf(running).forEach(w -> process.after(Lab.MILLI / 2, w.listener::upstreamCrashed));
        running.clear();
        host.crashed();
    }

    private long millis(double mean) {
        return (long) (mean * (0.5 + random.nextDouble()) * Lab.MILLI);
    }

    /** Decides which requests crash the upstream, and is notified of a crash. */
    interface Host {
        /** Called when a call starts to run; returns whether the call crashes the upstream. */
        boolean crashesUpstream(HandOver handOver);

        /** Called when the upstream has crashed. */
        void crashed();
    }

    /** One running call. */
    private final class Work implements Exchange {
        private final Listener listener;

        private Work(Listener listener) {
            this.listener = listener;
        }

        private void answer() {
            if (running.contains(this)) {
                listener.head(OK, List.of(new HeaderField("content-length", "0")));
            }
        }

        @Override
        public void request() {
            if (running.remove(this)) {
                process.after(1, listener::end);
            }
        }

        @Override
        public void cancel() {
            running.remove(this);
        }
    }
}
