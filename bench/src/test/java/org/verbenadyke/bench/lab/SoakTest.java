package org.verbenadyke.bench.lab;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests {@link Soak} on a fixed set of seeds. */
final class SoakTest {
    private static final int SECONDS = 25;
    private static final int RATE = 80;

    @ParameterizedTest
    @ValueSource(longs = {2, 7, 11, 14, 19, 22, 115})
    void keepsEveryPromise(long seed) {
        SoakReport report = Soak.run(SoakSettings.all(seed, SECONDS, RATE));
        assertEquals(List.of(), report.violations());
    }

    @Test
    void sameSeedGivesSameRun() {
        SoakSettings settings = SoakSettings.all(5, 8, RATE);
        assertEquals(Soak.run(settings).digest(), Soak.run(settings).digest());
    }
}
