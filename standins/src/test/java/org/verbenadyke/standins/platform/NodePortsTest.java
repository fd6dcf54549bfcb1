package org.verbenadyke.standins.platform;

import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.routing.Endpoint;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link NodePorts}. */
final class NodePortsTest {
    private static final int ENDPOINT_COUNT = 2_000;

    @Test
    void returnsNoPortTwice() {
        Set<Endpoint> seen = new HashSet<>();
        for (int i = 0; i < ENDPOINT_COUNT; i++) {
            Endpoint endpoint = NodePorts.freeEndpoint();
            assertTrue(seen.add(endpoint), "returned twice: " + endpoint);
        }
    }
}
