package org.verbenadyke.standins.log;

import java.util.concurrent.CountDownLatch;

import org.verbenadyke.node.settings.IniReader;

/**
 * Command line of the stand-in log service. The only argument is the address to listen on.
 */
public final class LogMain {
    private LogMain() {}

    /**
     * Runs the log service until the process is stopped.
     *
     * @param args IP:PORT
     * @throws Exception if the address can't be bound
     */
    public static void main(String[] args) throws Exception {
        LogStandIn.start(IniReader.parseEndpoint(args[0]));
        new CountDownLatch(1).await();
    }
}
