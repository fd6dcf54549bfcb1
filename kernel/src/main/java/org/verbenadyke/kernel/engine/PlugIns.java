package org.verbenadyke.kernel.engine;

import java.util.ServiceLoader;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.verbenadyke.kernel.admission.ConcurrencyLimit;
import org.verbenadyke.kernel.admission.LimitProvider;
import org.verbenadyke.kernel.admission.LimitSettings;
import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.routing.Chooser;
import org.verbenadyke.kernel.routing.ChooserProvider;

/**
 * Looks up plug-ins registered with {@link ServiceLoader}.
 */
public final class PlugIns {
    private PlugIns() {}

    /**
     * Creates a chooser.
     *
     * @param name the plug-in's name
     * @return the chooser
     */
    public static Chooser chooser(String name) {
        return find(ChooserProvider.class, ChooserProvider::name, name).create();
    }

    /**
     * Creates a concurrency limit.
     *
     * @param name the plug-in's name
     * @param settings the bounds of the limit
     * @return the limit
     */
    public static ConcurrencyLimit limit(String name, LimitSettings settings) {
        return find(LimitProvider.class, LimitProvider::name, name).create(settings);
    }

    /**
     * Returns the available choosers.
     *
     * @return the names of the registered plug-ins
     */
    public static Set<String> choosers() {
        return names(ChooserProvider.class, ChooserProvider::name);
    }

    /**
     * Returns the available concurrency limits.
     *
     * @return the names of the registered plug-ins
     */
    public static Set<String> limits() {
        return names(LimitProvider.class, LimitProvider::name);
    }

    private static <T> Set<String> names(Class<T> type, Function<T, String> nameOf) {
        return ServiceLoader.load(type).stream()
                .map(p -> nameOf.apply(p.get()))
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static <T> T find(Class<T> type, Function<T, String> nameOf, String name) {
        return ServiceLoader.load(type).stream()
                .map(ServiceLoader.Provider::get)
                .filter(p -> nameOf.apply(p).equals(name))
                .findFirst()
                .orElseThrow(() -> VerbenadykeException.of(
                        ErrorCode.PLUGIN_UNKNOWN, name, type.getSimpleName(), names(type, nameOf)));
    }
}
