package org.verbenadyke.bench.lab;

import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests {@link Soak} on a fixed set of seeds. */
final class SoakTest {
    private static final int SECONDS = 25;
    private static final int REQUESTS_PER_SECOND = 80;
    private static final int CRASH_REQUESTS_PER_SECOND = 120;
    private static final long[] CRASH_SEEDS = {1, 4, 11, 13};
    private static final long[] MIXED_SEEDS = {1, 3, 4};

    @ParameterizedTest
    @ValueSource(longs = {2, 7, 11, 14, 19, 22, 115})
    void violatesNoInvariant(long seed) {
        SoakReport report = Soak.run(SoakSettings.keyed(seed, SECONDS, REQUESTS_PER_SECOND));
        assertEquals(List.of(), report.violations());
    }

    @ParameterizedTest
    @MethodSource("crashRuns")
    void crashesRunNothingTwice(SoakSettings settings) {
        SoakReport report = Soak.run(settings);
        assertEquals(List.of(), report.violations());
    }

    static Stream<SoakSettings> crashRuns() {
        Stream<SoakSettings> crashes =
                LongStream.of(CRASH_SEEDS).mapToObj(s -> SoakSettings.crashes(s, SECONDS, CRASH_REQUESTS_PER_SECOND));
        Stream<SoakSettings> mixed =
                LongStream.of(MIXED_SEEDS).mapToObj(s -> SoakSettings.mixed(s, SECONDS, CRASH_REQUESTS_PER_SECOND));
        return Stream.concat(crashes, mixed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void sendsUpstreamsNoMoreThanTheyState(long seed) {
        SoakReport report = Soak.run(SoakSettings.notices(seed, SECONDS, CRASH_REQUESTS_PER_SECOND));
        assertEquals(List.of(), report.violations());
    }

    @Test
    void sameSeedGivesSameRun() {
        SoakSettings settings = SoakSettings.mixed(5, 8, REQUESTS_PER_SECOND);
        assertEquals(Soak.run(settings).digest(), Soak.run(settings).digest());
    }
}
