package org.verbenadyke.bench.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;

import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.config.ConfigEntry;
import org.verbenadyke.kernel.config.Configuration;
import org.verbenadyke.kernel.config.ConfirmOutcome;
import org.verbenadyke.kernel.config.ImportanceRule;

/**
 * The operators of a randomised run: they confirm changes at the same moment through different nodes, confirm again
 * when the outcome is unknown, and record each outcome that is reported to them.
 */
final class SoakOperators {
    private static final long RETRY_PAUSE_NANOS = 500 * Lab.MILLI;
    private static final int MAX_TRIES = 6;

    private final Lab lab;
    private final Map<String, ConfirmOutcome> outcomes = new HashMap<>();
    private final Map<String, ConfigEntry.Change> changes = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    SoakOperators(Lab lab) {
        this.lab = lab;
    }

    void confirmConcurrently() {
        List<LabServer> working =
                lab.servers().stream().filter(LabServer::working).toList();
        if (working.size() < 2) {
            return;
        }
        for (int i = 0; i < 2; i++) {
            LabServer through = working.get(lab.random().nextInt(working.size()));
            confirm(through, change(through.node().core().engine().configuration()), 0);
        }
    }

    private ConfigEntry.Change change(Configuration base) {
        String id = new UUID(lab.random().nextLong(), lab.random().nextLong()).toString();
        Importance importance = Importance.values()[lab.random().nextInt(Importance.values().length)];
        ConfigEntry.Change change = new ConfigEntry.Change(
                id,
                base.version(),
                lab.random().nextInt(SoakWorkload.MAX_RETRIES + 1),
                List.of(
                        new ImportanceRule("permit-desk", "POST", "/", Importance.CRITICAL),
                        new ImportanceRule("well-index", "*", "/", importance)),
                Set.of(),
                "operator",
                lab.clock().wallMillis());
        changes.put(id, change);
        return change;
    }

    private void confirm(LabServer through, ConfigEntry.Change change, int tries) {
        LabNode node = through.node();
        node.process()
                .run(() -> node.core().config().confirm(change, outcome -> handleOutcome(change, outcome, tries)));
    }

    private void handleOutcome(ConfigEntry.Change change, ConfirmOutcome outcome, int tries) {
        ConfirmOutcome before = outcomes.put(change.id(), outcome);
        boolean isFinal = before instanceof ConfirmOutcome.InForce || before instanceof ConfirmOutcome.Superseded;
        if (isFinal && before.getClass() != outcome.getClass()) {
            violations.add("change " + change.id() + " was reported as " + before + " and then as " + outcome);
        }
        boolean unresolved = outcome instanceof ConfirmOutcome.Unknown || outcome instanceof ConfirmOutcome.NotAppended;
        if (unresolved && tries < MAX_TRIES) {
            lab.clock().after(RETRY_PAUSE_NANOS, () -> {
                List<LabServer> working =
                        lab.servers().stream().filter(LabServer::working).toList();
                if (!working.isEmpty()) {
                    confirm(working.get(lab.random().nextInt(working.size())), change, tries + 1);
                }
            });
        }
    }

    /** Checks that at most one change took effect on each base version and that all nodes run the same version. */
    List<String> violations() {
        Map<Long, String> changeByVersion = new HashMap<>();
        outcomes.forEach((id, outcome) -> {
            if (outcome instanceof ConfirmOutcome.InForce f) {
                String other = changeByVersion.put(f.version(), id);
                if (other != null) {
                    violations.add("two changes made version " + f.version() + ": " + other + " and " + id);
                }
            }
        });
        Configuration first = null;
        for (LabServer s : lab.servers()) {
            Configuration c = s.node().core().engine().configuration();
            if (first != null && !first.equals(c)) {
                violations.add(s.id() + " runs " + c + ", another " + first);
            }
            first = c;
        }
        return violations;
    }
}
