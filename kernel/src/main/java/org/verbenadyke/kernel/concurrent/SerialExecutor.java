package org.verbenadyke.kernel.concurrent;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs tasks one at a time on the threads that submit them, without locks and without its own thread. A task submitted
 * while another runs is run later by the thread that runs the other one.
 */
public final class SerialExecutor {
    private final ConcurrentLinkedQueue<Runnable> queue = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pending = new AtomicInteger();

    private SerialExecutor() {}

    /**
     * Creates an idle executor.
     *
     * @return the executor
     */
    public static SerialExecutor create() {
        return new SerialExecutor();
    }

    /**
     * Runs a task immediately, or later on the thread that is running another task.
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
