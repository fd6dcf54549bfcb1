package org.verbenadyke.standins.log;

import java.util.concurrent.CountDownLatch;

import org.verbenadyke.node.settings.IniReader;

/**
 * Runs the stand-in log as a process: the one argument is the address to listen on.
 */
public final class LogMain {
    private LogMain() {}

    /**
     * Runs the log.
     *
     * @param args IP:PORT
     * @throws Exception when it can't listen
     */
    public static void main(String[] args) throws Exception {
        LogStandIn.start(IniReader.parseEndpoint(args[0]));
        new CountDownLatch(1).await();
    }
}
