package org.verbenadyke.bench.lab;

import java.util.ArrayDeque;
import java.util.Deque;

import org.verbenadyke.kernel.time.Subscription;
import org.verbenadyke.kernel.time.TimerService;

/**
 * The time as one process of the lab sees it: nothing happens while the process is paused or after it was killed, and
 * what fell due meanwhile happens when it resumes.
 */
final class NodeTimers implements TimerService {
    private final TimerService world;
    private final Deque<Runnable> backlog = new ArrayDeque<>();
    private boolean paused;
    private boolean killed;

    NodeTimers(TimerService world) {
        this.world = world;
    }

    @Override
    public long nanos() {
        return world.nanos();
    }

    @Override
    public long wallMillis() {
        return world.wallMillis();
    }

    @Override
    public Subscription after(long delayNanos, Runnable task) {
        Held held = new Held(task);
        Subscription inner = world.after(delayNanos, () -> run(held));
        return () -> {
            held.task = null;
            inner.cancel();
        };
    }

    /** Runs something in this process, as soon as it can. */
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
     * A task that may be cancelled while it is held back.
     */
    private static final class Held implements Runnable {
        private Runnable task;

        private Held(Runnable task) {
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
