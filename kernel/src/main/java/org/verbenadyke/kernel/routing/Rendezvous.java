package org.verbenadyke.kernel.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * Rendezvous hashing: every node ranks the same names in the same order, and adding or removing a name moves only the
 * keys that this name owns.
 */
public final class Rendezvous {
    private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;
    private static final long MIX_1 = 0xbf58476d1ce4e5b9L;
    private static final long MIX_2 = 0x94d049bb133111ebL;
    private static final int SHIFT_1 = 30;
    private static final int SHIFT_2 = 27;
    private static final int SHIFT_3 = 31;
    private static final int UNUSED_BITS = 11;
    private static final double UNIT = 0x1.0p-53;

    private Rendezvous() {}

    /**
     * Hashes a pair of names.
     *
     * @param name the name to rank
     * @param key the key it is ranked for
     * @return a 64-bit hash with evenly distributed bits
     */
    public static long hash(String name, String key) {
        long h = OFFSET_BASIS;
        for (int i = 0; i < name.length(); i++) {
            h = (h ^ name.charAt(i)) * PRIME;
        }
        h = (h ^ '/') * PRIME;
        for (int i = 0; i < key.length(); i++) {
            h = (h ^ key.charAt(i)) * PRIME;
        }
        h = (h ^ (h >>> SHIFT_1)) * MIX_1;
        h = (h ^ (h >>> SHIFT_2)) * MIX_2;
        return h ^ (h >>> SHIFT_3);
    }

    /**
     * Finds the name that owns a key.
     *
     * @param names the names
     * @param key the key
     * @return the owner, empty when there are no names
     */
    public static Optional<String> owner(Collection<String> names, String key) {
        return names.stream().max(Comparator.comparingLong(n -> hash(n, key)));
    }

    /**
     * Chooses a weighted subset.
     *
     * @param upstreams the upstreams to choose from
     * @param chooser the name of the node that chooses
     * @param weight the weight of an upstream, above 0; one with twice the weight is chosen about twice as often
     * @param size how many upstreams to choose
     * @return the chosen upstreams; the same arguments give the same result
     */
    public static List<Upstream> subset(
            Collection<Upstream> upstreams, String chooser, ToDoubleFunction<Upstream> weight, int size) {
        return upstreams.stream()
                .sorted(Comparator.comparingDouble(u -> distance(u, chooser, weight.applyAsDouble(u))))
                .limit(size)
                .toList();
    }

    private static double distance(Upstream upstream, String chooser, double weight) {
        double unit = ((hash(upstream.id(), chooser) >>> UNUSED_BITS) + 1) * UNIT;
        return -Math.log(unit) / weight;
    }
}
