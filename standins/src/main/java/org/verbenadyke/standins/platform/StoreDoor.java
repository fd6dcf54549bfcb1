package org.verbenadyke.standins.platform;

import java.util.concurrent.atomic.AtomicInteger;

import org.verbenadyke.node.http1.HttpServer;

/**
 * One address of the stand-in store, with a fault of its own. Calls that are in progress when it falls silent are never
 * answered.
 */
public final class StoreDoor implements AutoCloseable {
    private volatile StoreFault fault = StoreFault.NONE;
    private volatile int silences;
    private final AtomicInteger polls = new AtomicInteger();
    private volatile HttpServer server;

    StoreDoor() {}

    void attach(HttpServer newServer) {
        server = newServer;
    }

    /**
     * Sets the fault that applies to subsequent calls.
     *
     * @param newFault the fault
     */
    public synchronized void fault(StoreFault newFault) {
        if (newFault == StoreFault.SILENT) {
            silences++;
        }
        fault = newFault;
    }

    /**
     * Returns whether some caller waits for a record.
     *
     * @return whether a long poll is pending
     */
    public boolean polled() {
        return polls.get() > 0;
    }

    void adjustPolls(int delta) {
        polls.addAndGet(delta);
    }

    StoreFault fault() {
        return fault;
    }

    /** Returns how often the address has fallen silent. */
    int silences() {
        return silences;
    }

    @Override
    public void close() {
        server.close();
    }
}
