package org.verbenadyke.kernel.time;

/**
 * A scheduled task.
 */
@FunctionalInterface
public interface Subscription {
    /** Cancels the task; a task already running is not interrupted. */
    void cancel();
}
