package org.verbenadyke.bench.real;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.verbenadyke.node.time.EventLoopTimerService;
import org.verbenadyke.node.transport.EventLoops;
import org.verbenadyke.standins.platform.NodePorts;
import org.verbenadyke.standins.platform.StoreStandIn;

/**
 * What the nodes of a soak need around them: the store, a folder for settings and logs, and event loops for stand-ins.
 *
 * @param loops the event loops
 * @param folder the folder, which stays after the soak
 * @param store the store
 */
record SoakSurroundings(EventLoops loops, Path folder, StoreStandIn store) implements AutoCloseable {
    /**
     * Starts a store that holds a configuration.
     *
     * @param name the beginning of the folder's name
     * @param configuration the configuration
     * @return the surroundings
     */
    static SoakSurroundings start(String name, String configuration) throws IOException {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        EventLoops loops = EventLoops.nio(2);
        StoreStandIn store = StoreStandIn.listen(
                NodePorts.freeEndpoint(),
                loops,
                EventLoopTimerService.on(loops.group().next()));
        store.write(StoreStandIn.OPERATORS, StoreStandIn.CONFIGURATION, configuration);
        return new SoakSurroundings(loops, Files.createTempDirectory(name), store);
    }

    @Override
    public void close() {
        store.close();
        loops.group().shutdownGracefully();
    }
}
