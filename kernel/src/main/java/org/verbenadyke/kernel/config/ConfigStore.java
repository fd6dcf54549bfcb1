package org.verbenadyke.kernel.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.log.LogService;
import org.verbenadyke.kernel.log.RecordCodec;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Keeps the configuration of one node up to date: from the log, which a few nodes of each data centre follow closely
 * and the others now and then, and from other nodes. Appends confirmed changes and finds out what became of them.
 */
public final class ConfigStore {
    /** The stream of configuration entries. */
    public static final String STREAM = "configuration";

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long SEEN_MILLIS = 20;

    private final Parts parts;
    private final ConfigSettings settings;
    private final ConfigReader reader = ConfigReader.create();
    private final SerialExecutor serial = SerialExecutor.create();
    private final Map<String, Pending> confirming = new HashMap<>();
    private final AtomicLong readNanos;
    private volatile ConfigState published;
    private volatile boolean synced;
    private boolean reading;

    private ConfigStore(Parts parts, ConfigSettings settings) {
        this.parts = parts;
        this.settings = settings;
        this.readNanos = new AtomicLong(parts.timers().nanos());
    }

    /**
     * Creates a keeper and lets it read.
     *
     * @param parts what it works with
     * @param settings how often it reads and writes
     * @return the keeper
     */
    public static ConfigStore start(Parts parts, ConfigSettings settings) {
        ConfigStore keeper = new ConfigStore(parts, settings);
        if (!settings.followed()) {
            return keeper;
        }
        keeper.serial.run(keeper::read);
        long jitter = parts.random().nextLong(settings.snapshotNanos());
        parts.timers()
                .after(
                        jitter,
                        () -> parts.timers()
                                .every(settings.snapshotNanos(), () -> keeper.serial.run(keeper::writeSnapshot)));
        return keeper;
    }

    /**
     * Returns the state.
     *
     * @return the state, once it is known
     */
    public Optional<ConfigState> state() {
        return Optional.ofNullable(published);
    }

    /**
     * Tells whether all entries read were taken into account.
     *
     * @return false while entries are missing
     */
    public boolean synced() {
        return synced;
    }

    /**
     * Returns how old the view of the log is.
     *
     * @return nanoseconds since the last answer of the log
     */
    public long logAgeNanos() {
        return parts.timers().nanos() - readNanos.get();
    }

    /**
     * Finds a version seen lately.
     *
     * @param version the version
     * @param taker is told the configuration, if it was seen
     */
    public void version(long version, Consumer<Optional<Configuration>> taker) {
        serial.run(() -> taker.accept(reader.version(version)));
    }

    /**
     * Takes the state that another node tells.
     *
     * @param told the state
     */
    public void receive(ConfigState told) {
        serial.run(() -> {
            reader.hear(told);
            publish();
        });
    }

    /**
     * Confirms a change: appends it unless its fate is known already, and waits until the log shows what became of it.
     *
     * @param change the change
     * @param taker is told once
     */
    public void confirm(ConfigEntry.Change change, Consumer<ConfirmOutcome> taker) {
        serial.run(() -> {
            Optional<ConfigState.Decision> known = reader.state().flatMap(s -> s.decision(change.id()));
            if (known.isPresent()) {
                taker.accept(ConfirmOutcome.of(known.get()));
                return;
            }
            long inForce = reader.state().map(ConfigState::version).orElse(0L);
            if (reader.state().isPresent() && change.base() < inForce) {
                taker.accept(new ConfirmOutcome.Superseded(inForce));
                return;
            }
            append(change, taker);
        });
    }

    private void append(ConfigEntry.Change change, Consumer<ConfirmOutcome> taker) {
        Pending pending = new Pending(taker);
        confirming.put(change.id(), pending);
        parts.timers()
                .after(
                        settings.confirmNanos(),
                        () -> serial.run(() -> {
                            confirming.remove(change.id(), pending);
                            pending.tell(new ConfirmOutcome.Unknown("the log did not show the change in time"));
                        }));
        parts.log()
                .append(
                        STREAM,
                        STREAM,
                        parts.codec().encode(change),
                        result -> serial.run(() -> {
                            switch (result) {
                                case LogService.AppendResult.Appended at ->
                                    parts.counters().count(Event.LOG_APPENDED);
                                case LogService.AppendResult.Unknown u ->
                                    parts.counters().count(Event.LOG_FAILED);
                                case LogService.AppendResult.Failed f -> {
                                    parts.counters().count(Event.LOG_FAILED);
                                    confirming.remove(change.id(), pending);
                                    pending.tell(new ConfirmOutcome.NotAppended(f.reason()));
                                }
                            }
                            read();
                        }));
    }

    private void read() {
        if (reading) {
            return;
        }
        reading = true;
        long wait = closely() ? settings.pollMillis() : 0;
        parts.log().read(STREAM, reader.nextOffset(), wait, result -> serial.run(() -> taken(result)));
    }

    private void taken(LogService.ReadResult result) {
        reading = false;
        switch (result) {
            case LogService.ReadResult.Records r -> {
                readNanos.set(parts.timers().nanos());
                Map<Long, ConfigEntry> entries = new HashMap<>();
                r.records().forEach(x -> entries.put(x.offset(), parts.codec().decode(x.bytes())));
                reader.read(r.firstOffset(), r.nextOffset(), entries);
                publish();
                again(r.records().isEmpty() && !closely() ? settings.idleNanos() : SEEN_MILLIS * NANOS_PER_MILLI);
            }
            case LogService.ReadResult.Failed f -> {
                parts.counters().count(Event.LOG_FAILED);
                again(settings.retryNanos());
            }
        }
    }

    private void again(long delay) {
        long jitter = parts.random().nextLong(delay / 2 + 1);
        parts.timers().after(delay / 2 + jitter, () -> serial.run(this::read));
    }

    private boolean closely() {
        return parts.tailing().getAsBoolean() || !confirming.isEmpty() || !reader.synced();
    }

    private void publish() {
        synced = reader.synced();
        Optional<ConfigState> state = reader.state();
        if (state.isEmpty()) {
            return;
        }
        ConfigState before = published;
        published = state.get();
        if (before == null || before.version() < published.version()) {
            parts.inForce().accept(published.configuration());
        }
        confirming
                .entrySet()
                .removeIf(e -> published
                        .decision(e.getKey())
                        .map(d -> e.getValue().tell(ConfirmOutcome.of(d)))
                        .orElse(false));
    }

    /** Writes the state again, so that it outlives the entries that led to it. */
    private void writeSnapshot() {
        if (!parts.tailing().getAsBoolean()
                || !reader.synced()
                || reader.state().isEmpty()) {
            return;
        }
        ConfigEntry snapshot = new ConfigEntry.Snapshot(reader.state().get());
        parts.log()
                .append(
                        STREAM,
                        STREAM,
                        parts.codec().encode(snapshot),
                        r -> parts.counters()
                                .count(
                                        r instanceof LogService.AppendResult.Appended
                                                ? Event.LOG_APPENDED
                                                : Event.LOG_FAILED));
    }

    /**
     * What a keeper works with.
     *
     * @param timers the time
     * @param log the log
     * @param codec encodes entries
     * @param random where randomness comes from
     * @param counters where failures are counted
     * @param tailing tells whether this node is one of those that follow the log closely
     * @param inForce takes each newer configuration
     */
    public record Parts(
            TimerService timers,
            LogService log,
            RecordCodec<ConfigEntry> codec,
            RandomGenerator random,
            Counters counters,
            BooleanSupplier tailing,
            Consumer<Configuration> inForce) {}

    /**
     * A confirmation under way.
     */
    private static final class Pending {
        private final Consumer<ConfirmOutcome> taker;
        private boolean told;

        private Pending(Consumer<ConfirmOutcome> taker) {
            this.taker = taker;
        }

        boolean tell(ConfirmOutcome outcome) {
            if (!told) {
                told = true;
                taker.accept(outcome);
            }
            return true;
        }
    }

    /**
     * Returns the versions that can be shown.
     *
     * @return the latest decisions, oldest first
     */
    public List<ConfigState.Decision> history() {
        return state().map(ConfigState::decisions).orElse(List.of());
    }
}
