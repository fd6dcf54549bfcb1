package org.verbenadyke.bench.lab;

import java.util.ArrayList;
import java.util.List;

import org.verbenadyke.kernel.ledger.Breach;

/**
 * A long randomised run of the production decision logic on a virtual clock, with random demand and random faults.
 */
public final class Soak {
    private static final long WARM_UP_NANOS = 4 * Lab.SECOND;
    private static final long SETTLE_NANOS = 60 * Lab.SECOND;

    private Soak() {}

    /**
     * Generates demand and faults, lets the system settle, and checks the invariants.
     *
     * @param settings the seed and the length
     * @return the counts and the violated invariants
     */
    public static SoakReport run(SoakSettings settings) {
        Lab lab = SoakWorkload.create(settings.seed());
        lab.advance(WARM_UP_NANOS);
        List<String> violations = new ArrayList<>();
        SoakOperators operators = new SoakOperators(lab);
        SoakCallers callers = new SoakCallers(lab, settings.unkeyedShare());
        SoakFaults faults = new SoakFaults(lab, settings.kinds(), operators, violations);
        long until = lab.clock().nanos() + settings.seconds() * Lab.SECOND;
        callers.generateLoad(settings.requestsPerSecond(), until);
        faults.inject(until);
        lab.advance(settings.seconds() * Lab.SECOND + SETTLE_NANOS);
        for (Breach b : lab.breaches()) {
            violations.add(b.invariant() + " " + b.subject() + ": " + b.history());
        }
        violations.addAll(lab.statements().violations());
        violations.addAll(callers.violations());
        violations.addAll(operators.violations());
        return new SoakReport(
                settings.seed(),
                callers.sent(),
                faults.faults(),
                callers.answers(),
                faults.counts(),
                faults.trace(),
                violations,
                callers.digest());
    }
}
