package org.verbenadyke.standins.run;

import java.nio.file.Path;

/**
 * How a fleet runs.
 *
 * @param home the folder of the project, with its launchers
 * @param preset the policy of the nodes, standard or baseline
 * @param ioThreads how many threads of a node serve connections
 */
public record FleetOptions(Path home, String preset, int ioThreads) {}
