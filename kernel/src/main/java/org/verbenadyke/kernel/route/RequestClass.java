package org.verbenadyke.kernel.route;

/**
 * Requests that are expected to make the same calls.
 *
 * @param service the service they call
 * @param pathClass their class of paths: the method and the first segment of the path
 */
public record RequestClass(String service, String pathClass) {
    // Written out because the derived methods are generated at their first use, which slows down process startup.
    @Override
    public boolean equals(Object other) {
        return other instanceof RequestClass o && service.equals(o.service) && pathClass.equals(o.pathClass);
    }

    @Override
    public int hashCode() {
        return 31 * service.hashCode() + pathClass.hashCode();
    }
}
