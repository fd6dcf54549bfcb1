package org.verbenadyke.bench.lab;

import java.util.List;

import org.verbenadyke.kernel.config.ImportanceRule;

/**
 * One surge: a workload, its demand and the service that is slowed.
 *
 * @param name the workload
 * @param services its services
 * @param requests the kinds of requests that callers send
 * @param rules the operators' rules on importance
 * @param deepest the service that is slowed
 * @param slowFactor the factor by which the service time grows
 * @param baseRate requests per second before and after the surge
 * @param surgeRate requests per second during the surge
 * @param capacity complete answers per second that the slowed chain can give
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
