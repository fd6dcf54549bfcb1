package org.verbenadyke.bench.lab;

/**
 * A kind of request that emulated callers send.
 *
 * @param name its name
 * @param target the called operation, as SERVICE/OPERATION
 * @param once whether it must run at most once
 * @param share its share of all requests
 * @param important whether the operators marked it as important
 */
record LabRequest(String name, String target, boolean once, double share, boolean important) {}
