package org.verbenadyke.kernel.plan;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.verbenadyke.kernel.config.ImportanceRule;

/**
 * The changes that an operator requests; everything else stays as it is.
 *
 * @param retries the number of retries that the whole call chain of a request may make
 * @param rules the rules that determine the importance of requests, replacing all earlier rules
 * @param leave nodes whose upstreams must not get new work
 * @param back nodes whose upstreams get work again
 */
public record Intents(
        Optional<Integer> retries, Optional<List<ImportanceRule>> rules, Set<String> leave, Set<String> back) {}
