package org.verbenadyke.kernel.body;

/**
 * The right to hold the body of one request in memory. Thread-safe.
 */
public final class BodyReservation {
    private static final BodyReservation NONE = new BodyReservation(BodyBudget.of(0), 0, () -> {});

    static {
        NONE.become(State.GRANTED);
    }

    private final BodyBudget budget;
    private final Runnable onGranted;
    private volatile State state = State.WAITING;
    private volatile long bytes;

    BodyReservation(BodyBudget budget, long bytes, Runnable onGranted) {
        this.budget = budget;
        this.bytes = bytes;
        this.onGranted = onGranted;
    }

    /**
     * Returns the reservation of a body that needs none: it is always granted, and its release has no effect.
     *
     * @return the reservation
     */
    public static BodyReservation none() {
        return NONE;
    }

    /**
     * Returns whether the body may be held now.
     *
     * @return whether the reservation is granted and was not released
     */
    public boolean granted() {
        return state == State.GRANTED;
    }

    /**
     * Returns the reserved bytes.
     *
     * @return the bytes
     */
    public long bytes() {
        return bytes;
    }

    /**
     * Returns the bytes beyond the actual size of the body, once it is known.
     *
     * @param actualBytes the actual size, in bytes
     */
    public void shrinkTo(long actualBytes) {
        if (this != NONE) {
            budget.shrink(this, actualBytes);
        }
    }

    /** Releases the reservation, or withdraws it if it still waits. Later calls have no effect. */
    public void release() {
        if (this != NONE) {
            budget.release(this);
        }
    }

    /**
     * Withdraws the reservation if it still waits.
     *
     * @return whether it waited; a granted reservation stays granted
     */
    public boolean withdraw() {
        return budget.withdraw(this);
    }

    State state() {
        return state;
    }

    void become(State next) {
        state = next;
    }

    void resize(long newBytes) {
        bytes = newBytes;
    }

    void notifyGranted() {
        onGranted.run();
    }

    /** The states of a reservation, changed only under the lock of its budget. */
    enum State {
        /** Waits for bytes. */
        WAITING,
        /** Holds its bytes. */
        GRANTED,
        /** Has ended. */
        RELEASED
    }
}
