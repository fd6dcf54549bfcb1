package org.verbenadyke.kernel.routing;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * How strongly calls are kept inside the data centre of the calling node.
 */
public enum Locality {
    /** The chooser alone decides, from load and latency. */
    STANDARD,

    /** Calls with enough time stay in their data centre up to a higher utilisation, see {@link SlackLocality}. */
    SLACK;

    /**
     * Returns the names used in settings.
     *
     * @return the names
     */
    public static List<String> names() {
        return Arrays.stream(values()).map(Locality::settingName).toList();
    }

    /**
     * Looks up a locality by its name in settings.
     *
     * @param name the name
     * @return the locality, empty if the name is unknown
     */
    public static Optional<Locality> named(String name) {
        return Arrays.stream(values()).filter(l -> l.settingName().equals(name)).findFirst();
    }

    /**
     * Returns the chooser that places calls with this locality.
     *
     * @param chooser the chooser that weighs load and latency
     * @return the chooser itself, or one that prefers the own data centre for calls with enough time
     */
    public Chooser applyTo(Chooser chooser) {
        return switch (this) {
            case STANDARD -> chooser;
            case SLACK -> SlackLocality.over(chooser);
        };
    }

    private String settingName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
