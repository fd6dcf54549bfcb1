package org.verbenadyke.bench.lab;

/**
 * A kind of request that callers of the lab make.
 *
 * @param name its name
 * @param target what it asks for, as SERVICE/OPERATION
 * @param once whether it must run at most once
 * @param share its share of all requests
 * @param important whether the operators marked it
 */
record LabRequest(String name, String target, boolean once, double share, boolean important) {}
