package org.verbenadyke.bench.lab;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Runs {@link ConfigurationSoak} with fixed seeds, one for each size of fleet. */
final class ConfigurationSoakTest {
    private static final int SECONDS = 20;

    @ParameterizedTest
    @ValueSource(longs = {101, 102, 103, 104, 105})
    void changesAreInForceInTimeUnderOverlappingFaults(long seed) {
        assertEquals(List.of(), ConfigurationSoak.run(seed, SECONDS).violations());
    }

    @Test
    void sameSeedGivesSameRun() {
        assertEquals(ConfigurationSoak.run(7, 10), ConfigurationSoak.run(7, 10));
    }
}
