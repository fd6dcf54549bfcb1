package org.verbenadyke.kernel.routing;

/**
 * The location of a server.
 *
 * @param region the region
 * @param dataCentre the data centre
 */
public record Location(String region, String dataCentre) {
    // Written out because the derived methods are generated at their first use, which slows down process startup.
    @Override
    public boolean equals(Object other) {
        return other instanceof Location o && region.equals(o.region) && dataCentre.equals(o.dataCentre);
    }

    @Override
    public int hashCode() {
        return 31 * region.hashCode() + dataCentre.hashCode();
    }
}
