package org.verbenadyke.standins.run;

import java.util.List;
import java.util.Optional;

import org.verbenadyke.kernel.routing.Endpoint;

/**
 * One server of a fleet: a stand-in upstream and its colocated node.
 */
public final class Server {
    private final String id;
    private final String service;
    private final String dataCentre;
    private final List<Endpoint> endpoints;
    private Process node;
    private Process upstream;

    private Server(String id, String service, String dataCentre, List<Endpoint> endpoints) {
        this.id = id;
        this.service = service;
        this.dataCentre = dataCentre;
        this.endpoints = endpoints;
    }

    static Server of(String id, String service, String dataCentre, List<Endpoint> endpoints) {
        return new Server(id, service, dataCentre, endpoints);
    }

    void start(Process newNode, Process newUpstream) {
        this.node = newNode;
        this.upstream = newUpstream;
    }

    /**
     * Returns the id of the server, which is also the id of its node.
     *
     * @return the id
     */
    public String id() {
        return id;
    }

    /**
     * Returns the service.
     *
     * @return the service that the upstream provides
     */
    public String service() {
        return service;
    }

    /**
     * Returns the data centre.
     *
     * @return the data centre's name
     */
    public String dataCentre() {
        return dataCentre;
    }

    /**
     * Returns the address where the node accepts connections of other nodes.
     *
     * @return the address
     */
    public Endpoint peers() {
        return endpoints.get(0);
    }

    /**
     * Returns the address where the node accepts requests of callers.
     *
     * @return the address
     */
    public Endpoint entry() {
        return endpoints.get(1);
    }

    /**
     * Returns the address where the node accepts requests of its upstream.
     *
     * @return the address
     */
    public Endpoint local() {
        return endpoints.get(2);
    }

    /**
     * Returns the address where the node accepts requests of operators.
     *
     * @return the address
     */
    public Endpoint control() {
        return endpoints.get(3);
    }

    /**
     * Returns the address where the upstream accepts calls.
     *
     * @return the address
     */
    public Endpoint address() {
        return endpoints.get(4);
    }

    /**
     * Returns the node's process.
     *
     * @return the process, empty before the start
     */
    public Optional<Process> node() {
        return Optional.ofNullable(node);
    }

    /**
     * Returns the upstream's process.
     *
     * @return the process, empty before the start
     */
    public Optional<Process> upstream() {
        return Optional.ofNullable(upstream);
    }
}
