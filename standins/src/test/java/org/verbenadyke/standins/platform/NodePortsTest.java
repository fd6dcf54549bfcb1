package org.verbenadyke.standins.platform;

import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.routing.Endpoint;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link NodePorts}. */
final class NodePortsTest {
    private static final int MANY = 2_000;

    @Test
    void givesNoPortTwice() {
        Set<Endpoint> seen = new HashSet<>();
        for (int i = 0; i < MANY; i++) {
            Endpoint endpoint = NodePorts.freeEndpoint();
            assertTrue(seen.add(endpoint), "given twice: " + endpoint);
        }
    }
}
