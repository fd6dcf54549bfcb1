package org.verbenadyke.node.log;

import java.util.function.Consumer;

import org.verbenadyke.kernel.log.LogService;

/**
 * The log service of a node whose settings name no log: every call fails at once.
 */
public final class UnconfiguredLogService implements LogService {
    private static final String FAILURE_REASON = "no log is configured";

    private UnconfiguredLogService() {}

    /**
     * Creates the service.
     *
     * @return the service
     */
    public static UnconfiguredLogService create() {
        return new UnconfiguredLogService();
    }

    @Override
    public void append(String stream, String key, byte[] record, Consumer<AppendResult> callback) {
        callback.accept(new AppendResult.Failed(FAILURE_REASON));
    }

    @Override
    public void read(String stream, long fromOffset, long waitMillis, Consumer<ReadResult> callback) {
        callback.accept(new ReadResult.Failed(FAILURE_REASON));
    }
}
