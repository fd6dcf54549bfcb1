package org.verbenadyke.kernel.plan;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.verbenadyke.kernel.config.ImportanceRule;

/**
 * What operators want changed; what isn't named stays as it is.
 *
 * @param retries how many retries the whole chain of a request may make
 * @param rules how much requests matter, in place of all earlier rules
 * @param leave nodes whose upstreams are to get no new work
 * @param back nodes whose upstreams are to get work again
 */
public record Intents(
        Optional<Integer> retries, Optional<List<ImportanceRule>> rules, Set<String> leave, Set<String> back) {}
