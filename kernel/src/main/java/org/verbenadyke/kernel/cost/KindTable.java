package org.verbenadyke.kernel.cost;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * What is known about kinds of request, by service and class of paths. Thread-safe.
 *
 * @param <V> what is known about one kind
 */
final class KindTable<V extends KindTable.Aged> {
    /** The maximum number of kinds; a new one replaces the one whose last answer is the oldest. */
    static final int MAX_KINDS = 256;

    private final Map<Kind, V> kinds = new ConcurrentHashMap<>();

    private KindTable() {}

    static <V extends Aged> KindTable<V> empty() {
        return new KindTable<>();
    }

    Optional<V> find(String service, String pathClass) {
        return Optional.ofNullable(kinds.get(new Kind(service, pathClass)));
    }

    V findOrAdd(String service, String pathClass, long nowNanos, Supplier<V> created) {
        Kind kind = new Kind(service, pathClass);
        V present = kinds.get(kind);
        return present != null ? present : add(kind, nowNanos, created);
    }

    void forEach(BiConsumer<Kind, V> action) {
        kinds.forEach(action);
    }

    private synchronized V add(Kind kind, long nowNanos, Supplier<V> created) {
        if (kinds.size() >= MAX_KINDS && !kinds.containsKey(kind)) {
            kinds.entrySet().stream()
                    .max(Comparator.comparingLong(e -> nowNanos - e.getValue().lastNanos()))
                    .ifPresent(oldest -> kinds.remove(oldest.getKey()));
        }
        return kinds.computeIfAbsent(kind, k -> created.get());
    }

    /** Something that knows when it was last confirmed. */
    interface Aged {
        /** Returns the time of the last answer, in nanoseconds. */
        long lastNanos();
    }

    /**
     * A kind of request.
     *
     * @param service the service that the requests are sent to
     * @param pathClass the class of their paths
     */
    record Kind(String service, String pathClass) {
        // Written out: the record's own methods are generated at their first use, which slows the start of a process.
        @Override
        public boolean equals(Object other) {
            return other instanceof Kind o && service.equals(o.service) && pathClass.equals(o.pathClass);
        }

        @Override
        public int hashCode() {
            return 31 * service.hashCode() + pathClass.hashCode();
        }
    }
}
