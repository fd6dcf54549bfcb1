package org.verbenadyke.kernel.core;

import java.util.Optional;
import java.util.OptionalInt;

import org.verbenadyke.kernel.notice.StartNotices;
import org.verbenadyke.kernel.serve.UpstreamPort;

/**
 * The registration of an upstream with its colocated node.
 *
 * @param service the service that the upstream serves
 * @param port sends calls to the upstream
 * @param slots how many calls the upstream runs concurrently, if it reports that
 * @param start identifies the start of the upstream, {@link StartNotices#UNKNOWN_START} if that isn't known
 * @param onLeaving runs once if the upstream states in an answer that it is leaving; empty to drain it
 */
public record UpstreamRegistration(
        String service, UpstreamPort port, OptionalInt slots, long start, Optional<Runnable> onLeaving) {
    /**
     * Creates a registration.
     *
     * @param service the service that the upstream serves
     * @param port sends calls to the upstream
     * @return the registration, without slots and of an unknown start
     */
    public static UpstreamRegistration of(String service, UpstreamPort port) {
        return new UpstreamRegistration(
                service, port, OptionalInt.empty(), StartNotices.UNKNOWN_START, Optional.empty());
    }

    /**
     * Returns the registration with a number of slots.
     *
     * @param newSlots how many calls the upstream runs concurrently
     * @return the registration
     */
    public UpstreamRegistration withSlots(int newSlots) {
        return new UpstreamRegistration(service, port, OptionalInt.of(newSlots), start, onLeaving);
    }

    /**
     * Returns the registration of a known start.
     *
     * @param newStart identifies the start
     * @return the registration
     */
    public UpstreamRegistration withStart(long newStart) {
        return new UpstreamRegistration(service, port, slots, newStart, onLeaving);
    }

    /**
     * Returns the registration with a task for an upstream that is leaving.
     *
     * @param task runs once if the upstream states in an answer that it is leaving
     * @return the registration
     */
    public UpstreamRegistration withOnLeaving(Runnable task) {
        return new UpstreamRegistration(service, port, slots, start, Optional.of(task));
    }
}
