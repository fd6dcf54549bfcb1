package org.verbenadyke.kernel.routing;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Prints the measurements of docs/design/placement.md; a program, not a test. */
final class PlacementTable {
    private static final int FIRST_SEED = 7;
    private static final int SEEDS = 3;
    private static final double[] LOADS = {0.5, 0.8, 1.0};
    private static final double HURRIED = 0.25;

    private PlacementTable() {}

    /**
     * Prints a line for each fleet, load, locality and seed.
     *
     * @param args not used
     */
    public static void main(String[] args) {
        double[] one = {1};
        double[] two = {1, 1};
        double[] four = {1, 1, 1, 1};
        double[] mixed = {0.5, 1, 1.5};
        double[][] fourCentres = {four, four, four, four};
        double[][] single = {{0.5, 1, 1, 1.5}};
        Map<String, PlacementReplay.Fleet> fleets = new LinkedHashMap<>();
        fleets.put("4 x 4 upstreams, 60 senders", new PlacementReplay.Fleet(fourCentres, 60, HURRIED));
        fleets.put("4 x 4 upstreams, 240 senders", new PlacementReplay.Fleet(fourCentres, 240, HURRIED));
        fleets.put("speeds 0.5 / 1 / 1.5", new PlacementReplay.Fleet(new double[][] {{0.5}, {1}, {1.5}}, 12, HURRIED));
        fleets.put(
                "0.5, 1 and 1.5 in each", new PlacementReplay.Fleet(new double[][] {mixed, mixed, mixed}, 60, HURRIED));
        fleets.put("1 / 2 / 3 upstreams", new PlacementReplay.Fleet(new double[][] {one, two, {1, 1, 1}}, 60, HURRIED));
        fleets.put(
                "0 / 2 / 2 / 2 upstreams", new PlacementReplay.Fleet(new double[][] {{}, two, two, two}, 60, HURRIED));
        fleets.put("one, 4 speeds, 4 senders", new PlacementReplay.Fleet(single, 4, 0));
        fleets.put("one, 4 speeds, 60 senders", new PlacementReplay.Fleet(single, 60, 0));
        fleets.forEach((name, fleet) -> {
            for (double load : LOADS) {
                for (Locality locality : Locality.values()) {
                    print(name, fleet, load, locality);
                }
            }
        });
    }

    private static void print(String name, PlacementReplay.Fleet fleet, double load, Locality locality) {
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            PlacementReplay r = new PlacementReplay(fleet, locality, seed).run(load);
            System.out.printf(
                    Locale.ROOT,
                    "%s|%.1f|%s|%d|%.3f|%.3f|%s|%s|%s|%.2f %.2f %.2f %.2f%n",
                    name,
                    load,
                    locality,
                    seed,
                    r.remoteShare(),
                    r.queuedShare(),
                    r.enough(),
                    r.hurried(),
                    r.hurriedFromFirst(),
                    r.shareByCapacity(0),
                    r.shareByCapacity(1),
                    r.shareByCapacity(2),
                    fleet.speeds().length == 1 ? r.shareByCapacity(3) : 0);
        }
    }
}
