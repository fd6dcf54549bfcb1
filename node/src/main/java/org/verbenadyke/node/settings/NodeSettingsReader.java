package org.verbenadyke.node.settings;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.verbenadyke.kernel.admission.GateSettings;
import org.verbenadyke.kernel.admission.LimitSettings;
import org.verbenadyke.kernel.dispatch.DispatchSettings;
import org.verbenadyke.kernel.engine.PlugIns;
import org.verbenadyke.kernel.engine.Policy;
import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Locality;
import org.verbenadyke.kernel.routing.Location;

/**
 * Reads and validates the settings of a node. docs/SETTINGS.md describes every key.
 */
public final class NodeSettingsReader {
    /** The known sections with their known keys. */
    public static final Map<String, Set<String>> KEYS = Map.of(
            "node", Set.of("id", "region", "data-centre", "io-threads", "ledger"),
            "listen", Set.of("peers", "entry", "local", "control"),
            "log", Set.of("address"),
            "membership", Set.of("seeds"),
            "policy",
                    Set.of(
                            "preset",
                            "chooser",
                            "limit",
                            "subset-size",
                            "default-ttl-ms",
                            "key-retention-s",
                            "limit-initial",
                            "limit-least",
                            "limit-most",
                            "retry-ratio-percent",
                            "retry-after-ms"),
            "routing", Set.of("locality"),
            "logging", Set.of("format"));

    private static final Set<String> REQUIRED_SECTIONS = Set.of("node", "listen");
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long MAX_TTL_MILLIS = 30_000;
    private static final long MAX_RETENTION_SECONDS = 86_400;
    private static final int MAX_LIMIT = 1_000_000;
    private static final int MAX_SUBSET_SIZE = 10_000;
    private static final int MAX_IO_THREADS = 64;
    private static final int DEFAULT_IO_THREADS = 1;
    private static final long MAX_RETRY_AFTER_MILLIS = 600_000;
    private static final double PERCENT = 100.0;
    private static final Endpoint PLACEHOLDER_ENDPOINT = new Endpoint("127.0.0.1", 1);

    private NodeSettingsReader() {}

    /**
     * Reads and validates a file.
     *
     * @param path the file
     * @return the settings
     * @throws InvalidSettingsException with all problems of the file
     */
    public static NodeSettings read(Path path) {
        IniReader ini = IniReader.open(path);
        ini.checkSections(REQUIRED_SECTIONS, KEYS.keySet());
        KEYS.forEach(ini::checkKeys);
        NodeSettings settings = new NodeSettings(
                ini.requiredText("node", "id"),
                new Location(ini.requiredText("node", "region"), ini.requiredText("node", "data-centre")),
                listenEndpoint(ini, "peers"),
                listenEndpoint(ini, "entry"),
                listenEndpoint(ini, "local"),
                listenEndpoint(ini, "control"),
                ini.endpoint("log", "address"),
                seeds(ini),
                policy(ini),
                isJsonFormat(ini),
                ini.flag("node", "ledger", true),
                (int) ini.number("node", "io-threads", 1, MAX_IO_THREADS, DEFAULT_IO_THREADS));
        if (!ini.problems().isEmpty()) {
            throw InvalidSettingsException.of(ini.problems());
        }
        return settings;
    }

    private static Endpoint listenEndpoint(IniReader ini, String key) {
        ini.requiredText("listen", key);
        return ini.endpoint("listen", key).orElse(PLACEHOLDER_ENDPOINT);
    }

    private static List<Endpoint> seeds(IniReader ini) {
        return ini.value(
                        "membership",
                        "seeds",
                        "IP:PORT, separated by blanks",
                        v -> Arrays.stream(v.split("\\s+"))
                                .map(IniReader::parseEndpoint)
                                .toList())
                .orElse(List.of());
    }

    private static boolean isJsonFormat(IniReader ini) {
        String format = ini.text("logging", "format").orElse("text");
        if (!format.equals("text") && !format.equals("json")) {
            ini.addProblem(ErrorCode.SETTINGS_BAD_VALUE, "logging", "format", format, "must be text or json");
        }
        return format.equals("json");
    }

    private static Policy policy(IniReader ini) {
        Policy base = preset(ini);
        LimitSettings l = base.limits();
        LimitSettings limits = new LimitSettings(
                (int) ini.number("policy", "limit-initial", 1, MAX_LIMIT, l.initial()),
                (int) ini.number("policy", "limit-least", 1, MAX_LIMIT, l.minimum()),
                (int) ini.number("policy", "limit-most", 1, MAX_LIMIT, l.maximum()));
        DispatchSettings d = base.dispatch();
        long retryPercent =
                ini.number("policy", "retry-ratio-percent", 0, (long) PERCENT, Math.round(d.retryRatio() * PERCENT));
        long retryAfterMillis = ini.number("policy", "retry-after-ms", 0, MAX_RETRY_AFTER_MILLIS, d.retryAfterMillis());
        GateSettings gate = base.gate();
        Locality locality = ini.locality();
        return new Policy(
                choice(ini, "chooser", base.chooser(), PlugIns.choosers()),
                choice(ini, "limit", base.limit(), PlugIns.limits()),
                (int) ini.number(
                        "policy", "subset-size", 1, MAX_SUBSET_SIZE, Math.min(MAX_SUBSET_SIZE, base.subsetSize())),
                base.perHopRetries(),
                millisAsNanos(ini, "default-ttl-ms", MAX_TTL_MILLIS, base.defaultTtlNanos()),
                ini.number("policy", "key-retention-s", 1, MAX_RETENTION_SECONDS, toSeconds(base.keyRetentionNanos()))
                        * NANOS_PER_SECOND,
                gate,
                limits,
                new DispatchSettings(
                        retryPercent / PERCENT,
                        d.maxSavedRetries(),
                        d.retryPerHop(),
                        d.attemptTimeoutNanos(),
                        d.allowanceCharged(),
                        d.nestedCallsExempt(),
                        locality == Locality.SLACK,
                        retryAfterMillis),
                base.serve(),
                base.link(),
                locality,
                base.allowance());
    }

    private static Policy preset(IniReader ini) {
        return switch (choice(ini, "preset", "standard", Set.of("standard", "baseline"))) {
            case "baseline" -> Policy.baseline();
            default -> Policy.standard();
        };
    }

    private static String choice(IniReader ini, String key, String defaultValue, Set<String> known) {
        Optional<String> value = ini.text("policy", key);
        if (value.isPresent() && !known.contains(value.get())) {
            String expectation = "must be one of " + known.stream().sorted().toList();
            ini.addProblem(ErrorCode.SETTINGS_BAD_VALUE, "policy", key, value.get(), expectation);
            return defaultValue;
        }
        return value.orElse(defaultValue);
    }

    private static long millisAsNanos(IniReader ini, String key, long max, long defaultNanos) {
        return ini.number("policy", key, 1, max, defaultNanos / NANOS_PER_MILLI) * NANOS_PER_MILLI;
    }

    private static long toSeconds(long nanos) {
        return nanos / NANOS_PER_SECOND;
    }
}
