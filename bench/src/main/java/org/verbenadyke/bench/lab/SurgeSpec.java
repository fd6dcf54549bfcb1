package org.verbenadyke.bench.lab;

import java.util.List;

import org.verbenadyke.kernel.config.ImportanceRule;

/**
 * One surge: a workload, its demand and what is slowed.
 *
 * @param name the workload
 * @param services its services
 * @param requests what callers ask for
 * @param rules the operators' rules on importance
 * @param deepest the service that is slowed
 * @param slowFactor by how much
 * @param baseRate requests a second before and after
 * @param surgeRate requests a second during the surge
 * @param capacity whole answers a second that the slowed chain can give
 */
record SurgeSpec(
        String name,
        List<ServiceSpec> services,
        List<LabRequest> requests,
        List<ImportanceRule> rules,
        String deepest,
        double slowFactor,
        double baseRate,
        double surgeRate,
        double capacity) {}
