package org.verbenadyke.standins.run;

import java.io.IOException;

import org.junit.jupiter.api.Test;

import com.fasterxml.jackson.databind.ObjectMapper;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests {@link FleetReadiness}. */
final class FleetReadinessTest {
    @Test
    void countsOnlyMembersWhoseUpstreamAcceptsCalls() throws IOException {
        String status = """
                {"members": [
                  {"node": "a", "state": "alive", "service": "s"},
                  {"node": "b", "state": "alive", "service": ""},
                  {"node": "c", "state": "suspect", "service": "s"},
                  {"node": "d", "state": "draining", "service": "s"}
                ]}""";
        assertEquals(1, FleetReadiness.countServing(new ObjectMapper().readTree(status)));
    }

    @Test
    void countsZeroInAStatusWithoutMembers() throws IOException {
        assertEquals(0, FleetReadiness.countServing(new ObjectMapper().readTree("{}")));
    }
}
