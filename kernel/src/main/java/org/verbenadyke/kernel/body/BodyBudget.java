package org.verbenadyke.kernel.body;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Decides whether there is memory for another request body. The bytes of all granted reservations never exceed the
 * limit; reservations that don't fit wait in order of arrival. Thread-safe.
 *
 * <p>Load pattern: large bodies that arrive faster than the upstreams take them, which would fill the heap. A waiting
 * reservation is not overtaken by a smaller one, since a stream of small bodies would keep a large one waiting forever.
 */
public final class BodyBudget {
    private final long limitBytes;
    private final Deque<BodyReservation> waiting = new ArrayDeque<>();
    private long heldBytes;

    private BodyBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Creates a budget with nothing reserved.
     *
     * @param limitBytes the most bytes that may be reserved at once
     * @return the budget
     */
    public static BodyBudget of(long limitBytes) {
        return new BodyBudget(limitBytes);
    }

    /**
     * Reserves bytes at once, or as soon as they are available.
     *
     * @param bytes the bytes
     * @param onGranted is called when a reservation that had to wait is granted, on the thread that released the bytes
     * @return the reservation, which waits unless it is granted already
     * @throws IllegalArgumentException if the bytes exceed the limit, so that they would never be available
     */
    public BodyReservation reserve(long bytes, Runnable onGranted) {
        if (bytes > limitBytes) {
            throw new IllegalArgumentException(bytes + " bytes exceed the limit of " + limitBytes);
        }
        BodyReservation reservation = new BodyReservation(this, bytes, onGranted);
        synchronized (this) {
            if (waiting.isEmpty() && fits(bytes)) {
                grant(reservation);
            } else {
                waiting.add(reservation);
            }
        }
        return reservation;
    }

    /**
     * Reserves bytes without waiting.
     *
     * @param bytes the bytes
     * @return the granted reservation, empty if the bytes are not available now or others wait for them
     */
    public synchronized Optional<BodyReservation> tryReserve(long bytes) {
        if (!waiting.isEmpty() || !fits(bytes)) {
            return Optional.empty();
        }
        BodyReservation reservation = new BodyReservation(this, bytes, () -> {});
        grant(reservation);
        return Optional.of(reservation);
    }

    /**
     * Returns the bytes of all granted reservations.
     *
     * @return the bytes
     */
    public synchronized long heldBytes() {
        return heldBytes;
    }

    /**
     * Returns the number of reservations that wait.
     *
     * @return the number
     */
    public synchronized int waiting() {
        return waiting.size();
    }

    /** Ends a reservation, unless it has ended. */
    void release(BodyReservation reservation) {
        List<BodyReservation> granted;
        synchronized (this) {
            granted = end(reservation);
        }
        granted.forEach(BodyReservation::notifyGranted);
    }

    /** Ends a reservation if it still waits, and returns whether it did. */
    boolean withdraw(BodyReservation reservation) {
        List<BodyReservation> granted;
        synchronized (this) {
            if (reservation.state() != BodyReservation.State.WAITING) {
                return false;
            }
            granted = end(reservation);
        }
        granted.forEach(BodyReservation::notifyGranted);
        return true;
    }

    /** Returns the bytes of a granted reservation beyond a smaller size. */
    void shrink(BodyReservation reservation, long bytes) {
        List<BodyReservation> granted;
        synchronized (this) {
            if (reservation.state() != BodyReservation.State.GRANTED || bytes >= reservation.bytes()) {
                return;
            }
            heldBytes -= reservation.bytes() - bytes;
            reservation.resize(bytes);
            granted = grantWaiting();
        }
        granted.forEach(BodyReservation::notifyGranted);
    }

    private List<BodyReservation> end(BodyReservation reservation) {
        if (reservation.state() == BodyReservation.State.RELEASED) {
            return List.of();
        }
        if (reservation.state() == BodyReservation.State.WAITING) {
            waiting.remove(reservation);
        } else {
            heldBytes -= reservation.bytes();
        }
        reservation.become(BodyReservation.State.RELEASED);
        return grantWaiting();
    }

    private List<BodyReservation> grantWaiting() {
        List<BodyReservation> granted = new ArrayList<>();
        while (!waiting.isEmpty() && fits(waiting.peek().bytes())) {
            BodyReservation next = waiting.poll();
            grant(next);
            granted.add(next);
        }
        return granted;
    }

    private boolean fits(long bytes) {
        return heldBytes + bytes <= limitBytes;
    }

    private void grant(BodyReservation reservation) {
        heldBytes += reservation.bytes();
        reservation.become(BodyReservation.State.GRANTED);
    }
}
