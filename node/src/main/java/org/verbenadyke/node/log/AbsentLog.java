package org.verbenadyke.node.log;

import java.util.function.Consumer;

import org.verbenadyke.kernel.log.LogService;

/**
 * Takes the log's place on a node whose settings name none: every call fails at once.
 */
public final class AbsentLog implements LogService {
    private static final String WHY = "no log is set";

    private AbsentLog() {}

    /**
     * Creates the stand-in.
     *
     * @return the log
     */
    public static AbsentLog create() {
        return new AbsentLog();
    }

    @Override
    public void append(String stream, String key, byte[] record, Consumer<AppendResult> taker) {
        taker.accept(new AppendResult.Failed(WHY));
    }

    @Override
    public void read(String stream, long fromOffset, long waitMillis, Consumer<ReadResult> taker) {
        taker.accept(new ReadResult.Failed(WHY));
    }
}
