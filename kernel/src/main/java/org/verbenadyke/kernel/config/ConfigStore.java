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
 * Maintains the configuration of one node. It reads the log, which a few nodes of each data centre tail and the others
 * poll at long intervals, and receives the state of other nodes. Appends confirmed changes and reports their outcome.
 */
public final class ConfigStore {
    /** The stream of configuration entries. */
    public static final String STREAM = "configuration";

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long REREAD_MILLIS = 20;

    private final Parts parts;
    private final ConfigSettings settings;
    private final ConfigLogReader reader = ConfigLogReader.create();
    private final SerialExecutor serial = SerialExecutor.create();
    private final Map<String, PendingConfirmation> pendingConfirmations = new HashMap<>();
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
     * Creates a store and starts reading.
     *
     * @param parts the collaborators
     * @param settings how often it reads and writes
     * @return the store
     */
    public static ConfigStore start(Parts parts, ConfigSettings settings) {
        ConfigStore store = new ConfigStore(parts, settings);
        if (!settings.follows()) {
            return store;
        }
        store.serial.run(store::read);
        long jitter = parts.random().nextLong(settings.snapshotNanos());
        parts.timers()
                .after(
                        jitter,
                        () -> parts.timers()
                                .every(settings.snapshotNanos(), () -> store.serial.run(store::writeSnapshot)));
        return store;
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
     * Returns whether all entries read so far have been applied.
     *
     * @return false while entries are missing
     */
    public boolean synced() {
        return synced;
    }

    /**
     * Returns the age of the last successful read of the log.
     *
     * @return the age in nanoseconds
     */
    public long logAgeNanos() {
        return parts.timers().nanos() - readNanos.get();
    }

    /**
     * Looks up a recent version.
     *
     * @param version the version
     * @param callback called with the configuration, empty if it is unknown
     */
    public void version(long version, Consumer<Optional<Configuration>> callback) {
        serial.run(() -> callback.accept(reader.version(version)));
    }

    /**
     * Handles the state received from another node.
     *
     * @param received the state
     */
    public void receive(ConfigState received) {
        serial.run(() -> {
            reader.receive(received);
            publish();
        });
    }

    /**
     * Confirms a change: appends it unless its outcome is known already, and waits until the log shows the outcome.
     *
     * @param change the change
     * @param callback called once with the outcome
     */
    public void confirm(ConfigEntry.Change change, Consumer<ConfirmOutcome> callback) {
        serial.run(() -> {
            Optional<ConfigState.Decision> known = reader.state().flatMap(s -> s.decision(change.id()));
            if (known.isPresent()) {
                callback.accept(ConfirmOutcome.of(known.get()));
                return;
            }
            long inForce = reader.state().map(ConfigState::version).orElse(0L);
            if (reader.state().isPresent() && change.base() < inForce) {
                callback.accept(new ConfirmOutcome.Superseded(inForce));
                return;
            }
            append(change, callback);
        });
    }

    private void append(ConfigEntry.Change change, Consumer<ConfirmOutcome> callback) {
        PendingConfirmation pending = new PendingConfirmation(callback);
        pendingConfirmations.put(change.id(), pending);
        parts.timers()
                .after(
                        settings.confirmNanos(),
                        () -> serial.run(() -> {
                            pendingConfirmations.remove(change.id(), pending);
                            pending.complete(new ConfirmOutcome.Unknown("the log did not show the change in time"));
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
                                    pendingConfirmations.remove(change.id(), pending);
                                    pending.complete(new ConfirmOutcome.NotAppended(f.reason()));
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
        long wait = followsClosely() ? settings.pollMillis() : 0;
        parts.log().read(STREAM, reader.nextOffset(), wait, result -> serial.run(() -> readCompleted(result)));
    }

    private void readCompleted(LogService.ReadResult result) {
        reading = false;
        switch (result) {
            case LogService.ReadResult.Records r -> {
                readNanos.set(parts.timers().nanos());
                Map<Long, ConfigEntry> entries = new HashMap<>();
                r.records().forEach(x -> entries.put(x.offset(), parts.codec().decode(x.bytes())));
                reader.read(r.firstOffset(), r.nextOffset(), entries);
                publish();
                scheduleRead(
                        r.records().isEmpty() && !followsClosely()
                                ? settings.idleNanos()
                                : REREAD_MILLIS * NANOS_PER_MILLI);
            }
            case LogService.ReadResult.Failed f -> {
                parts.counters().count(Event.LOG_FAILED);
                scheduleRead(settings.retryNanos());
            }
        }
    }

    private void scheduleRead(long delay) {
        long jitter = parts.random().nextLong(delay / 2 + 1);
        parts.timers().after(delay / 2 + jitter, () -> serial.run(this::read));
    }

    private boolean followsClosely() {
        return parts.tailing().getAsBoolean() || !pendingConfirmations.isEmpty() || !reader.synced();
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
        pendingConfirmations
                .entrySet()
                .removeIf(e -> published
                        .decision(e.getKey())
                        .map(d -> e.getValue().complete(ConfirmOutcome.of(d)))
                        .orElse(false));
    }

    /** Appends a snapshot of the state, so that the state outlives the entries that led to it. */
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
     * The collaborators of a configuration store.
     *
     * @param timers the clock and timers
     * @param log the log
     * @param codec encodes and decodes entries
     * @param random the source of randomness
     * @param counters counts appends and failures
     * @param tailing returns whether this node is one of those that tail the log
     * @param inForce called with each newer configuration
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
     * A confirmation in progress.
     */
    private static final class PendingConfirmation {
        private final Consumer<ConfirmOutcome> callback;
        private boolean completed;

        private PendingConfirmation(Consumer<ConfirmOutcome> callback) {
            this.callback = callback;
        }

        boolean complete(ConfirmOutcome outcome) {
            if (!completed) {
                completed = true;
                callback.accept(outcome);
            }
            return true;
        }
    }

    /**
     * Returns the decisions about recent changes.
     *
     * @return the latest decisions, oldest first
     */
    public List<ConfigState.Decision> history() {
        return state().map(ConfigState::decisions).orElse(List.of());
    }
}
