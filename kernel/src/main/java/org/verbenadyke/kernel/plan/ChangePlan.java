package org.verbenadyke.kernel.plan;

import java.util.List;

import org.verbenadyke.kernel.config.Configuration;

/**
 * The effects that confirming some intents would have. Nothing changes until the plan is confirmed.
 *
 * @param id identifies the plan; confirming it twice has one effect
 * @param base the version it is based on
 * @param next the configuration that results from confirming it
 * @param differences the changes, one line each
 * @param consequences the consequences of the changes, one line each
 * @param risks the risks that need explicit consent, one line each
 */
public record ChangePlan(
        String id,
        long base,
        Configuration next,
        List<String> differences,
        List<String> consequences,
        List<String> risks) {}
