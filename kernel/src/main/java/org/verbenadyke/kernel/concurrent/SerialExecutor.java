package org.verbenadyke.kernel.concurrent;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs tasks one at a time on whichever thread brings them, without locks and without a thread of its own. A task that
 * arrives while another runs is run by the thread that is already at work.
 */
public final class SerialExecutor {
    private final ConcurrentLinkedQueue<Runnable> queue = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pending = new AtomicInteger();

    private SerialExecutor() {}

    /**
     * Creates an idle runner.
     *
     * @return the runner
     */
    public static SerialExecutor create() {
        return new SerialExecutor();
    }

    /**
     * Runs a task, now or on the thread at work.
     *
     * @param task the task; it must not block or throw
     */
    public void run(Runnable task) {
        if (pending.compareAndSet(0, 1)) {
            task.run();
            if (pending.decrementAndGet() == 0) {
                return;
            }
        } else {
            queue.add(task);
            if (pending.getAndIncrement() != 0) {
                return;
            }
        }
        do {
            queue.remove().run();
        } while (pending.decrementAndGet() != 0);
    }
}
