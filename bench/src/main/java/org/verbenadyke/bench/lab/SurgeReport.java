package org.verbenadyke.bench.lab;

import java.util.Map;

/**
 * What one surge showed.
 *
 * @param goodput whole answers a second during the surge
 * @param goodputShare the same as a share of what the slowed chain can give
 * @param importantServed the share of important requests that got a whole answer, whichever of their caller's tries
 * @param wastedShare the share of the deepest service's work that was done for requests that failed
 * @param attemptsPerRequest runs at the deepest service per request that reached it
 * @param recoverySeconds from the end of the surge until goodput is back to 95 percent of the demand; -1 if it isn't
 * @param sends how many requests callers sent, their resends too
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
