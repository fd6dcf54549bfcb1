package org.verbenadyke.standins.upstream;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.node.settings.IniReader;
import org.verbenadyke.node.settings.InvalidSettingsException;

/**
 * How a stand-in upstream behaves.
 *
 * @param service the service it serves
 * @param listen where it listens
 * @param node where the node beside it listens for it
 * @param effects the log that stands for the database its effects go to
 * @param slots how many calls it works on at a time
 * @param queue how many calls wait before it sheds
 * @param serviceMillis how long a call takes, in milliseconds
 * @param coldMillis for how long after its start calls take four times as long, in milliseconds
 * @param failPercent how many calls in a hundred fail
 * @param calls which services each operation calls, as SERVICE/OPERATION
 */
public record UpstreamSettings(
        String service,
        Endpoint listen,
        Endpoint node,
        Optional<Endpoint> effects,
        int slots,
        int queue,
        int serviceMillis,
        int coldMillis,
        int failPercent,
        Map<String, List<String>> calls) {
    private static final String SECTION = "upstream";
    private static final int MOST = 1_000_000;
    private static final int DEFAULT_SLOTS = 20;
    private static final int DEFAULT_QUEUE = 20;
    private static final int DEFAULT_MILLIS = 5;
    private static final int PERCENT = 100;
    private static final Set<String> OPERATIONS =
            Set.of("lookup", "filing", "flag", "download", "dossier", "survey", "permit", "find");
    private static final Set<String> KEYS =
            Set.of("service", "listen", "node", "effects", "slots", "queue", "service-ms", "cold-ms", "fail-percent");

    /**
     * Reads and checks a file.
     *
     * @param path the file
     * @return the settings
     * @throws InvalidSettingsException with everything that is wrong
     */
    public static UpstreamSettings read(Path path) {
        IniReader ini = IniReader.open(path);
        ini.checkSections(Set.of(SECTION), Set.of(SECTION, "calls"));
        ini.checkKeys(SECTION, KEYS);
        ini.checkKeys("calls", OPERATIONS);
        Map<String, List<String>> calls = new HashMap<>();
        for (String operation : OPERATIONS) {
            ini.text("calls", operation).ifPresent(v -> calls.put(operation, Arrays.asList(v.split("\\s+"))));
        }
        UpstreamSettings settings = new UpstreamSettings(
                ini.requiredText(SECTION, "service"),
                ini.endpoint(SECTION, "listen").orElse(new Endpoint("127.0.0.1", 1)),
                ini.endpoint(SECTION, "node").orElse(new Endpoint("127.0.0.1", 1)),
                ini.endpoint(SECTION, "effects"),
                (int) ini.number(SECTION, "slots", 1, MOST, DEFAULT_SLOTS),
                (int) ini.number(SECTION, "queue", 0, MOST, DEFAULT_QUEUE),
                (int) ini.number(SECTION, "service-ms", 0, MOST, DEFAULT_MILLIS),
                (int) ini.number(SECTION, "cold-ms", 0, MOST, 0),
                (int) ini.number(SECTION, "fail-percent", 0, PERCENT, 0),
                calls);
        if (!ini.problems().isEmpty()) {
            throw InvalidSettingsException.of(ini.problems());
        }
        return settings;
    }
}
