package org.verbenadyke.bench.lab;

import java.util.Map;

/**
 * The result of one surge.
 *
 * @param goodput complete correct answers per second during the surge
 * @param goodputShare goodput as a share of the slowed chain's capacity
 * @param importantServed the share of important requests that got a complete answer to any attempt of the caller
 * @param wastedShare the share of the deepest service's work that was done for requests that failed
 * @param attemptsPerRequest runs at the deepest service per request that reached it
 * @param recoverySeconds time from the end of the surge until goodput reaches 95 percent of the demand, -1 if never
 * @param sends how many requests callers sent, including resends
 * @param answers how many answers of each kind callers got
 */
record SurgeReport(
        double goodput,
        double goodputShare,
        double importantServed,
        double wastedShare,
        double attemptsPerRequest,
        double recoverySeconds,
        long sends,
        Map<String, Integer> answers) {}
