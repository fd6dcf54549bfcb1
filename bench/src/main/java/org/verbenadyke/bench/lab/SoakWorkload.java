package org.verbenadyke.bench.lab;

import java.util.List;

import org.verbenadyke.kernel.body.BodyMemory;
import org.verbenadyke.kernel.config.ConfigSettings;
import org.verbenadyke.kernel.core.CoreSettings;
import org.verbenadyke.kernel.engine.Policy;
import org.verbenadyke.kernel.follow.FollowSettings;
import org.verbenadyke.kernel.membership.GossipSettings;
import org.verbenadyke.kernel.owner.OwnerSettings;
import org.verbenadyke.kernel.quota.QuotaSettings;
import org.verbenadyke.kernel.quota.QuotaTolerance;
import org.verbenadyke.kernel.routing.Location;

/**
 * The services and requests that the randomised runs use.
 */
final class SoakWorkload {
    /** The highest number of retries that operators allow in a run. */
    static final int MAX_RETRIES = 4;

    static final List<LabRequest> REQUESTS = List.of(
            new LabRequest("lookup", "well-index/lookup", false, 0.45, false),
            new LabRequest("filing", "permit-desk/filing", true, 0.25, true),
            new LabRequest("survey", "survey-view/survey", false, 0.15, false),
            new LabRequest("download", "log-archive/download", false, 0.15, false));

    private static final List<Location> LOCATIONS = List.of(
            new Location("bc-north", "bc-1"),
            new Location("bc-north", "bc-2"),
            new Location("bc-north", "bc-3"),
            new Location("bc-south", "bs-1"));
    private static final int DOWNLOAD_BYTES = 400_000;

    private SoakWorkload() {}

    static Lab create(long seed) {
        Lab lab = Lab.create(seed, settings(), false);
        lab.add(ServiceSpec.of("well-index", 4, 8, 6, Operation.of("lookup", "survey-view/survey")), LOCATIONS);
        lab.add(
                ServiceSpec.of(
                        "permit-desk",
                        4,
                        8,
                        8,
                        Operation.once("filing", "well-index/lookup"),
                        new Operation("permit", false, List.of("well-index/lookup", "survey-view/survey"), true, 0)),
                LOCATIONS);
        lab.add(
                ServiceSpec.of(
                        "log-archive",
                        3,
                        8,
                        8,
                        new Operation("download", false, List.of("permit-desk/permit"), false, DOWNLOAD_BYTES)),
                LOCATIONS);
        lab.add(ServiceSpec.of("survey-view", 4, 5, 8, Operation.of("survey")), LOCATIONS);
        lab.startAll();
        return lab;
    }

    private static CoreSettings settings() {
        Policy policy = Policy.standard();
        long retention = policy.keyRetentionNanos();
        ConfigSettings config =
                new ConfigSettings(true, 1_000, 5 * Lab.SECOND, Lab.SECOND / 2, 4 * Lab.SECOND, 8 * Lab.SECOND);
        return new CoreSettings(
                policy,
                GossipSettings.standard(),
                config,
                OwnerSettings.withRetention(retention),
                30 * Lab.SECOND,
                0,
                QuotaSettings.with(QuotaTolerance.none()),
                FollowSettings.standard(),
                BodyMemory.DEFAULT_BYTES);
    }
}
