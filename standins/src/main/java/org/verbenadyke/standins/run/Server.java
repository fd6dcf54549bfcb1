package org.verbenadyke.standins.run;

import java.util.List;
import java.util.Optional;

import org.verbenadyke.kernel.routing.Endpoint;

/**
 * One server of a fleet: a stand-in upstream and the node beside it.
 */
public final class Server {
    private final String id;
    private final String service;
    private final String dataCentre;
    private final List<Endpoint> ends;
    private Process node;
    private Process upstream;

    private Server(String id, String service, String dataCentre, List<Endpoint> ends) {
        this.id = id;
        this.service = service;
        this.dataCentre = dataCentre;
        this.ends = ends;
    }

    static Server of(String id, String service, String dataCentre, List<Endpoint> ends) {
        return new Server(id, service, dataCentre, ends);
    }

    void start(Process newNode, Process newUpstream) {
        this.node = newNode;
        this.upstream = newUpstream;
    }

    /**
     * Returns the name.
     *
     * @return the name of the server and of its node
     */
    public String id() {
        return id;
    }

    /**
     * Returns the service.
     *
     * @return the service that the upstream serves
     */
    public String service() {
        return service;
    }

    /**
     * Returns the data centre.
     *
     * @return its name
     */
    public String dataCentre() {
        return dataCentre;
    }

    /**
     * Returns where the node listens for other nodes.
     *
     * @return the address
     */
    public Endpoint peers() {
        return ends.get(0);
    }

    /**
     * Returns where the node listens for callers.
     *
     * @return the address
     */
    public Endpoint entry() {
        return ends.get(1);
    }

    /**
     * Returns where the node listens for the upstream.
     *
     * @return the address
     */
    public Endpoint local() {
        return ends.get(2);
    }

    /**
     * Returns where the node listens for operators.
     *
     * @return the address
     */
    public Endpoint control() {
        return ends.get(3);
    }

    /**
     * Returns where the upstream listens.
     *
     * @return the address
     */
    public Endpoint address() {
        return ends.get(4);
    }

    /**
     * Returns the node's process.
     *
     * @return the process, if it was started
     */
    public Optional<Process> node() {
        return Optional.ofNullable(node);
    }

    /**
     * Returns the upstream's process.
     *
     * @return the process, if it was started
     */
    public Optional<Process> upstream() {
        return Optional.ofNullable(upstream);
    }
}
