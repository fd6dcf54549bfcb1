package org.verbenadyke.node.trace;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.Logger;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;

/** Records the lines of one logger until it is closed. */
public final class RecordedLog implements AutoCloseable {
    private final List<String> lines = new CopyOnWriteArrayList<>();
    private final AbstractAppender appender = new AbstractAppender("lines", null, null, true, Property.EMPTY_ARRAY) {
        @Override
        public void append(LogEvent event) {
            lines.add(event.getMessage().getFormattedMessage());
        }
    };
    private final Logger logger;
    private final Level before;

    private RecordedLog(Logger logger, Level level) {
        this.logger = logger;
        this.before = logger.getLevel();
        appender.start();
        logger.addAppender(appender);
        logger.setLevel(level);
    }

    /**
     * Begins to record.
     *
     * @param name the name of the logger
     * @param level the lowest level to record
     * @return the recorded lines
     */
    public static RecordedLog of(String name, Level level) {
        return new RecordedLog((Logger) LogManager.getLogger(name), level);
    }

    /**
     * Returns the lines so far.
     *
     * @return the messages, in their order
     */
    public List<String> lines() {
        return lines;
    }

    @Override
    public void close() {
        logger.removeAppender(appender);
        logger.setLevel(before);
    }
}
