package org.verbenadyke.kernel.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.ServiceLoader;
import java.util.function.Function;

import org.verbenadyke.kernel.admission.ConcurrencyLimit;
import org.verbenadyke.kernel.admission.LimitProvider;
import org.verbenadyke.kernel.admission.LimitSettings;
import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.routing.Chooser;
import org.verbenadyke.kernel.routing.ChooserProvider;

/**
 * Finds the plug-ins that registered themselves.
 */
public final class PlugIns {
    private PlugIns() {}

    /**
     * Makes a chooser.
     *
     * @param name the plug-in's name
     * @return the chooser
     */
    public static Chooser chooser(String name) {
        return find(ChooserProvider.class, ChooserProvider::name, name).create();
    }

    /**
     * Makes a concurrency limit.
     *
     * @param name the plug-in's name
     * @param settings its bounds
     * @return the limit
     */
    public static ConcurrencyLimit limit(String name, LimitSettings settings) {
        return find(LimitProvider.class, LimitProvider::name, name).create(settings);
    }

    private static <T> T find(Class<T> type, Function<T, String> nameOf, String name) {
        List<String> known = new ArrayList<>();
        for (T plugIn : ServiceLoader.load(type)) {
            if (nameOf.apply(plugIn).equals(name)) {
                return plugIn;
            }
            known.add(nameOf.apply(plugIn));
        }
        throw VerbenadykeException.of(ErrorCode.PLUGIN_UNKNOWN, name, type.getSimpleName(), known);
    }
}
