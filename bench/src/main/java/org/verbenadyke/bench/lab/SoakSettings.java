package org.verbenadyke.bench.lab;

/**
 * One randomised run.
 *
 * @param seed makes the run the same each time
 * @param seconds how long demand and faults last, in virtual seconds
 * @param requestsPerSecond the mean demand
 */
public record SoakSettings(long seed, int seconds, int requestsPerSecond) {}
