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
import org.verbenadyke.kernel.routing.Location;

/**
 * Reads the settings of a node. Every key is described in docs/SETTINGS.md.
 */
public final class NodeSettingsReader {
    /** The sections and the keys known in each. */
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
            "logging", Set.of("format"));

    private static final Set<String> REQUIRED = Set.of("node", "listen");
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long TTL_MOST_MILLIS = 30_000;
    private static final long RETENTION_MOST_SECONDS = 86_400;
    private static final int LIMIT_MOST = 1_000_000;
    private static final int SUBSET_MOST = 10_000;
    private static final int THREADS_MOST = 64;
    private static final int DEFAULT_THREADS = 1;
    private static final long RETRY_AFTER_MOST_MILLIS = 600_000;
    private static final double PERCENT = 100.0;
    private static final Endpoint UNSET = new Endpoint("127.0.0.1", 1);

    private NodeSettingsReader() {}

    /**
     * Reads and checks a file.
     *
     * @param path the file
     * @return the settings
     * @throws InvalidSettingsException with everything that is wrong
     */
    public static NodeSettings read(Path path) {
        IniReader ini = IniReader.open(path);
        ini.checkSections(REQUIRED, KEYS.keySet());
        KEYS.forEach(ini::checkKeys);
        NodeSettings settings = new NodeSettings(
                ini.requiredText("node", "id"),
                new Location(ini.requiredText("node", "region"), ini.requiredText("node", "data-centre")),
                listen(ini, "peers"),
                listen(ini, "entry"),
                listen(ini, "local"),
                listen(ini, "control"),
                ini.endpoint("log", "address"),
                seeds(ini),
                policy(ini),
                format(ini),
                ini.flag("node", "ledger", true),
                (int) ini.number("node", "io-threads", 1, THREADS_MOST, DEFAULT_THREADS));
        if (!ini.problems().isEmpty()) {
            throw InvalidSettingsException.of(ini.problems());
        }
        return settings;
    }

    private static Endpoint listen(IniReader ini, String key) {
        ini.requiredText("listen", key);
        return ini.endpoint("listen", key).orElse(UNSET);
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

    private static boolean format(IniReader ini) {
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
                (int) ini.number("policy", "limit-initial", 1, LIMIT_MOST, l.initial()),
                (int) ini.number("policy", "limit-least", 1, LIMIT_MOST, l.minimum()),
                (int) ini.number("policy", "limit-most", 1, LIMIT_MOST, l.maximum()));
        DispatchSettings d = base.dispatch();
        long percent =
                ini.number("policy", "retry-ratio-percent", 0, (long) PERCENT, Math.round(d.retryRatio() * PERCENT));
        long after = ini.number("policy", "retry-after-ms", 0, RETRY_AFTER_MOST_MILLIS, d.retryAfterMillis());
        GateSettings gate = base.gate();
        return new Policy(
                choice(ini, "chooser", base.chooser(), PlugIns.choosers()),
                choice(ini, "limit", base.limit(), PlugIns.limits()),
                (int) ini.number("policy", "subset-size", 1, SUBSET_MOST, Math.min(SUBSET_MOST, base.subsetSize())),
                base.perHopRetries(),
                millis(ini, "default-ttl-ms", TTL_MOST_MILLIS, base.defaultTtlNanos()),
                ini.number("policy", "key-retention-s", 1, RETENTION_MOST_SECONDS, seconds(base.keyRetentionNanos()))
                        * NANOS_PER_SECOND,
                gate,
                limits,
                new DispatchSettings(
                        percent / PERCENT,
                        d.maxSavedRetries(),
                        d.retryPerHop(),
                        d.attemptTimeoutNanos(),
                        d.ratioCoversLostConnections(),
                        d.nestedCallsExempt(),
                        after),
                base.serve(),
                base.link());
    }

    private static Policy preset(IniReader ini) {
        return switch (choice(ini, "preset", "standard", Set.of("standard", "baseline"))) {
            case "baseline" -> Policy.baseline();
            default -> Policy.standard();
        };
    }

    private static String choice(IniReader ini, String key, String otherwise, Set<String> known) {
        Optional<String> value = ini.text("policy", key);
        if (value.isPresent() && !known.contains(value.get())) {
            String what = "must be one of " + known.stream().sorted().toList();
            ini.addProblem(ErrorCode.SETTINGS_BAD_VALUE, "policy", key, value.get(), what);
            return otherwise;
        }
        return value.orElse(otherwise);
    }

    private static long millis(IniReader ini, String key, long most, long otherwiseNanos) {
        return ini.number("policy", key, 1, most, otherwiseNanos / NANOS_PER_MILLI) * NANOS_PER_MILLI;
    }

    private static long seconds(long nanos) {
        return nanos / NANOS_PER_SECOND;
    }
}
