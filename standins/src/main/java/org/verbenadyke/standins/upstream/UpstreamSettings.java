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
 * Settings of a stand-in upstream.
 *
 * @param service the service that the upstream provides
 * @param listen the address that the upstream listens on
 * @param node the address where the colocated node accepts requests of the upstream
 * @param effectsLog the log that represents the database for side effects
 * @param slots how many calls are executed concurrently
 * @param queueCapacity how many calls wait before further ones are shed
 * @param serviceMillis duration of a call, in milliseconds
 * @param coldMillis for how long after the start calls take four times as long, in milliseconds
 * @param failPercent percentage of calls that fail
 * @param calls the nested calls of each operation, as SERVICE/OPERATION
 */
public record UpstreamSettings(
        String service,
        Endpoint listen,
        Endpoint node,
        Optional<Endpoint> effectsLog,
        int slots,
        int queueCapacity,
        int serviceMillis,
        int coldMillis,
        int failPercent,
        Map<String, List<String>> calls) {
    private static final String SECTION = "upstream";
    private static final int MAX_VALUE = 1_000_000;
    private static final int DEFAULT_SLOTS = 20;
    private static final int DEFAULT_QUEUE = 20;
    private static final int DEFAULT_SERVICE_MILLIS = 5;
    private static final int MAX_PERCENT = 100;
    private static final Set<String> OPERATIONS =
            Set.of("lookup", "filing", "flag", "download", "dossier", "survey", "permit", "find");
    private static final Set<String> KEYS =
            Set.of("service", "listen", "node", "effects", "slots", "queue", "service-ms", "cold-ms", "fail-percent");

    /**
     * Reads and validates a settings file.
     *
     * @param path the path of the file
     * @return the settings
     * @throws InvalidSettingsException listing all problems, if the file is invalid
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
                (int) ini.number(SECTION, "slots", 1, MAX_VALUE, DEFAULT_SLOTS),
                (int) ini.number(SECTION, "queue", 0, MAX_VALUE, DEFAULT_QUEUE),
                (int) ini.number(SECTION, "service-ms", 0, MAX_VALUE, DEFAULT_SERVICE_MILLIS),
                (int) ini.number(SECTION, "cold-ms", 0, MAX_VALUE, 0),
                (int) ini.number(SECTION, "fail-percent", 0, MAX_PERCENT, 0),
                calls);
        if (!ini.problems().isEmpty()) {
            throw InvalidSettingsException.of(ini.problems());
        }
        return settings;
    }
}
