package org.verbenadyke.bench.lab;

import java.util.List;

import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.config.ImportanceRule;

/**
 * Scaled-down surges of the two workloads; every request reaches the deepest service once.
 */
final class Surges {
    private static final double SLOW_FACTOR = 5;
    private static final double MILLIS_PER_SECOND = 1_000;

    private Surges() {}

    /** Heatwell: lookups, filings and surveys that all end at survey-view. */
    static SurgeSpec heatwell() {
        return spec(
                "heatwell",
                List.of(
                        ServiceSpec.of("well-index", 4, 100, 3, Operation.of("lookup", "survey-view/survey")),
                        ServiceSpec.of("permit-desk", 3, 135, 4, Operation.once("filing", "well-index/lookup")),
                        ServiceSpec.of("log-archive", 3, 135, 4, Operation.of("download", "permit-desk/permit")),
                        ServiceSpec.of("survey-view", 3, 20, 20, Operation.of("survey"))),
                List.of(
                        new LabRequest("filing", "permit-desk/filing", true, 0.08, true),
                        new LabRequest("lookup", "well-index/lookup", false, 0.72, false),
                        new LabRequest("survey", "survey-view/survey", false, 0.2, false)),
                "permit-desk",
                "survey-view");
    }

    /** Marrowgate: forecourt lookups, flags and dossiers that all end at plate-finder. */
    static SurgeSpec marrowgate() {
        return spec(
                "marrowgate",
                List.of(
                        ServiceSpec.of("ledger-lens", 4, 70, 4, Operation.of("lookup", "plate-finder/find")),
                        ServiceSpec.of("flagwright", 3, 90, 4, Operation.once("flag", "ledger-lens/lookup")),
                        ServiceSpec.of("dossier-press", 3, 90, 5, Operation.of("dossier", "ledger-lens/lookup")),
                        ServiceSpec.of("plate-finder", 3, 25, 20, Operation.of("find"))),
                List.of(
                        new LabRequest("flag", "flagwright/flag", true, 0.08, true),
                        new LabRequest("lookup", "ledger-lens/lookup", false, 0.52, false),
                        new LabRequest("dossier", "dossier-press/dossier", false, 0.4, false)),
                "flagwright",
                "plate-finder");
    }

    private static SurgeSpec spec(
            String name, List<ServiceSpec> services, List<LabRequest> requests, String important, String deepest) {
        ServiceSpec slowed = services.stream()
                .filter(s -> s.name().equals(deepest))
                .findFirst()
                .orElseThrow();
        double fullCapacity = slowed.servers() * slowed.slots() * MILLIS_PER_SECOND / slowed.serviceMillis();
        return new SurgeSpec(
                name,
                services,
                requests,
                List.of(new ImportanceRule(important, "*", "/", Importance.CRITICAL)),
                deepest,
                SLOW_FACTOR,
                fullCapacity / SLOW_FACTOR / 2,
                fullCapacity / SLOW_FACTOR * 2,
                fullCapacity / SLOW_FACTOR);
    }
}
