package org.verbenadyke.bench.lab;

import java.util.ArrayDeque;
import java.util.Deque;

import org.verbenadyke.kernel.time.Subscription;
import org.verbenadyke.kernel.time.TimerService;

/**
 * The timers of one emulated process. No task runs while the process is paused or after it was killed; tasks that fall
 * due during a pause run when the process resumes.
 */
final class ProcessTimers implements TimerService {
    private final TimerService clock;
    private final Deque<Runnable> backlog = new ArrayDeque<>();
    private boolean paused;
    private boolean killed;

    ProcessTimers(TimerService clock) {
        this.clock = clock;
    }

    @Override
    public long nanos() {
        return clock.nanos();
    }

    @Override
    public long wallMillis() {
        return clock.wallMillis();
    }

    @Override
    public Subscription after(long delayNanos, Runnable task) {
        CancellableTask cancellable = new CancellableTask(task);
        Subscription inner = clock.after(delayNanos, () -> run(cancellable));
        return () -> {
            cancellable.task = null;
            inner.cancel();
        };
    }

    /** Runs a task immediately, or on resumption if the process is paused; drops it if the process was killed. */
    void run(Runnable task) {
        if (killed) {
            return;
        }
        if (paused) {
            backlog.add(task);
            return;
        }
        task.run();
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        while (!paused && !killed && !backlog.isEmpty()) {
            backlog.remove().run();
        }
    }

    void kill() {
        killed = true;
        backlog.clear();
    }

    boolean killed() {
        return killed;
    }

    boolean paused() {
        return paused;
    }

    /**
     * A task that can be cancelled while it waits in the backlog of a paused process.
     */
    private static final class CancellableTask implements Runnable {
        private Runnable task;

        private CancellableTask(Runnable task) {
            this.task = task;
        }

        @Override
        public void run() {
            if (task != null) {
                task.run();
            }
        }
    }
}
