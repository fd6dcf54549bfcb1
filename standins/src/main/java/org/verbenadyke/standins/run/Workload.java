package org.verbenadyke.standins.run;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.node.settings.IniReader;
import org.verbenadyke.node.settings.InvalidSettingsException;
import org.verbenadyke.standins.upstream.AnswerBodies;

/**
 * The services and requests of one user, scaled down.
 *
 * @param name the user
 * @param region the region it runs in
 * @param dataCentres the data centres its servers are spread over
 * @param services its services by name
 * @param requests what its callers ask for
 */
public record Workload(
        String name,
        String region,
        List<String> dataCentres,
        Map<String, Service> services,
        List<RequestKind> requests) {
    private static final String SERVICE = "service ";
    private static final String REQUEST = "request ";
    private static final int MOST = 1_000_000;
    private static final int DEFAULT_SLOTS = 20;
    private static final int PERCENT = 100;
    private static final Set<String> OPERATIONS =
            Set.of("lookup", "filing", "flag", "download", "dossier", "survey", "permit", "find");

    /**
     * Reads and checks a file.
     *
     * @param path the file
     * @return the workload
     * @throws InvalidSettingsException with everything that is wrong
     */
    public static Workload read(Path path) {
        IniReader ini = IniReader.open(path);
        ini.checkSections(Set.of("workload"), ini.sections());
        Map<String, Service> services = new LinkedHashMap<>();
        List<RequestKind> requests = new ArrayList<>();
        for (String section : ini.sections()) {
            if (section.startsWith(SERVICE)) {
                Service s = service(ini, section);
                services.put(s.name(), s);
            } else if (section.startsWith(REQUEST)) {
                requests.add(request(ini, section));
            } else if (!section.equals("workload")) {
                ini.addProblem(ErrorCode.SETTINGS_UNKNOWN_SECTION, section);
            }
        }
        Workload workload = new Workload(
                ini.requiredText("workload", "name"),
                ini.requiredText("workload", "region"),
                Arrays.asList(ini.requiredText("workload", "data-centres").split("\\s+")),
                services,
                requests);
        if (!ini.problems().isEmpty()) {
            throw InvalidSettingsException.of(ini.problems());
        }
        return workload;
    }

    /**
     * Words the body that a request must get.
     *
     * @param target the service and operation asked
     * @param id the id it asks for
     * @return the body
     */
    public String expectedBody(String target, String id) {
        String service = target.substring(0, target.indexOf('/'));
        String operation = target.substring(target.indexOf('/') + 1);
        StringBuilder below = new StringBuilder();
        for (String call : services.get(service).calls().getOrDefault(operation, List.of())) {
            below.append(expectedBody(call, id));
        }
        return AnswerBodies.textBody(service, operation, id, below.toString());
    }

    private static Service service(IniReader ini, String section) {
        Map<String, List<String>> calls = new LinkedHashMap<>();
        for (String operation : OPERATIONS) {
            ini.text(section, operation).ifPresent(v -> calls.put(operation, Arrays.asList(v.split("\\s+"))));
        }
        return new Service(
                section.substring(SERVICE.length()),
                (int) ini.number(section, "servers", 1, MOST, 1),
                (int) ini.number(section, "slots", 1, MOST, DEFAULT_SLOTS),
                (int) ini.number(section, "service-ms", 0, MOST, 1),
                (int) ini.number(section, "cold-ms", 0, MOST, 0),
                (int) ini.number(section, "fail-percent", 0, PERCENT, 0),
                calls);
    }

    private static RequestKind request(IniReader ini, String section) {
        return new RequestKind(
                section.substring(REQUEST.length()),
                ini.requiredText(section, "method"),
                ini.requiredText(section, "target"),
                (int) ini.number(section, "share", 1, MOST, 1),
                (int) ini.number(section, "size", 0, MOST, 0));
    }

    /**
     * A service.
     *
     * @param name its name
     * @param servers how many servers it has
     * @param slots how many calls a server works on at a time
     * @param serviceMillis how long a call takes, in milliseconds
     * @param coldMillis how long a server is cold, in milliseconds
     * @param failPercent how many calls in a hundred fail
     * @param calls what each operation calls, as SERVICE/OPERATION
     */
    public record Service(
            String name,
            int servers,
            int slots,
            int serviceMillis,
            int coldMillis,
            int failPercent,
            Map<String, List<String>> calls) {}

    /**
     * A kind of request.
     *
     * @param name its name
     * @param method the HTTP method
     * @param target what it asks, as SERVICE/OPERATION
     * @param share its share of all requests
     * @param size the size of its answer in bytes, 0 for a short text
     */
    public record RequestKind(String name, String method, String target, int share, int size) {
        /**
         * Tells whether it must run at most once.
         *
         * @return whether it is not idempotent
         */
        public boolean once() {
            return method.equals("POST");
        }
    }
}
