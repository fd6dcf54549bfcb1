package org.verbenadyke.kernel.routing;

/**
 * Where a server stands.
 *
 * @param region the region
 * @param dataCentre the data centre
 */
public record Location(String region, String dataCentre) {
    // Written out: derived ones are generated at their first use, which costs a process that starts much time.
    @Override
    public boolean equals(Object other) {
        return other instanceof Location o && region.equals(o.region) && dataCentre.equals(o.dataCentre);
    }

    @Override
    public int hashCode() {
        return 31 * region.hashCode() + dataCentre.hashCode();
    }
}
