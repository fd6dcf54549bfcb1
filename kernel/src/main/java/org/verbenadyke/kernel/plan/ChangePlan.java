package org.verbenadyke.kernel.plan;

import java.util.List;

import org.verbenadyke.kernel.config.Configuration;

/**
 * What confirming some intents would do. Nothing changes until it is confirmed.
 *
 * @param id names the plan; confirming it twice has one effect
 * @param base the version it was made for
 * @param next the configuration that confirming makes
 * @param differences what changes, one line each
 * @param consequences what follows from it, one line each
 * @param risks what needs an explicit consent, one line each
 */
public record ChangePlan(
        String id,
        long base,
        Configuration next,
        List<String> differences,
        List<String> consequences,
        List<String> risks) {}
