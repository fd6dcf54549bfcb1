package org.verbenadyke.kernel.departure;

import java.util.List;
import java.util.function.Consumer;

/**
 * Keeps which starts of the colocated upstream have announced their shutdown beyond the life of this process.
 */
public interface DepartureKeeper {
    /**
     * Returns a keeper that keeps nothing beyond the process, for an upstream whose node has no peers and no log.
     *
     * @return the keeper
     */
    static DepartureKeeper none() {
        return new DepartureKeeper() {
            @Override
            public void record(DepartedStart departed) {
                // Known to the caller, and to nobody else.
            }

            @Override
            public void whenSafe(Consumer<Boolean> callback) {
                callback.accept(true);
            }

            @Override
            public void onRecovered(Consumer<List<DepartedStart>> listener) {
                listener.accept(List.of());
            }
        };
    }

    /**
     * Records a departure outside this process.
     *
     * @param departed the start that departed
     */
    void record(DepartedStart departed);

    /**
     * Reports whether all departures recorded so far outlive this process.
     *
     * @param callback called once: with true as soon as they do, with false if they don't in time
     */
    void whenSafe(Consumer<Boolean> callback);

    /**
     * Subscribes to the departures that earlier processes of this node recorded.
     *
     * @param listener called as soon as they are known, before which no upstream may get work, and again if another
     *     node turns out to know more
     */
    void onRecovered(Consumer<List<DepartedStart>> listener);
}
