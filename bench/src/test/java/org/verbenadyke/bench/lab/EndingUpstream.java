package org.verbenadyke.bench.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.serve.UpstreamPort;

/**
 * One start of an upstream that answers lookups after a while, and ends when it has worked for a moment on a path that
 * it can't bear.
 */
final class EndingUpstream implements UpstreamPort {
    private static final int OK = 200;
    private static final double WORK_MILLIS = 90;
    private static final double BAD_WORK_MILLIS = 100;

    private final NodeTimers process;
    private final RandomGenerator random;
    private final Host host;
    private final List<Work> running = new ArrayList<>();
    private boolean over;

    EndingUpstream(NodeTimers process, RandomGenerator random, Host host) {
        this.process = process;
        this.random = random;
        this.host = host;
    }

    @Override
    public Exchange start(HandOver handOver, Listener listener) {
        Work work = new Work(listener);
        if (over) {
            process.after(Lab.MILLI / 2, listener::unreachable);
            return work;
        }
        running.add(work);
        if (host.bad(handOver)) {
            process.after(millis(BAD_WORK_MILLIS), this::end);
        } else {
            process.after(millis(WORK_MILLIS), work::answer);
        }
        return work;
    }

    /** Ends, with all that it has. */
    void end() {
        if (over) {
            return;
        }
        over = true;
        List.copyOf(running).forEach(w -> process.after(Lab.MILLI / 2, w.listener::upstreamCrashed));
        running.clear();
        host.ended();
    }

    private long millis(double mean) {
        return (long) (mean * (0.5 + random.nextDouble()) * Lab.MILLI);
    }

    /** What stands around an upstream. */
    interface Host {
        /** Takes notice that a call begins to run; tells whether the upstream can't bear it. */
        boolean bad(HandOver handOver);

        /** Takes notice that the upstream has ended. */
        void ended();
    }

    /** One call at work. */
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
