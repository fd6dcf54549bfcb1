package org.verbenadyke.standins.run;

import java.nio.file.Path;

/**
 * Options of a fleet.
 *
 * @param home the folder of the project, with its launchers
 * @param preset the policy preset of the nodes, {@code standard} or {@code baseline}
 * @param ioThreads the number of I/O threads of each node
 */
public record FleetOptions(Path home, String preset, int ioThreads) {}
