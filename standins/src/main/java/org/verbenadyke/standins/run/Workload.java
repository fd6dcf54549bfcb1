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
 * The services and requests of one user organization, scaled down.
 *
 * @param name the name of the workload
 * @param region the region of all servers
 * @param dataCentres the data centres that the servers are spread over
 * @param services the services by name
 * @param requests the kinds of requests that callers send
 */
public record Workload(
        String name,
        String region,
        List<String> dataCentres,
        Map<String, Service> services,
        List<RequestKind> requests) {
    private static final String SERVICE_PREFIX = "service ";
    private static final String REQUEST_PREFIX = "request ";
    private static final int MAX_VALUE = 1_000_000;
    private static final int DEFAULT_SLOTS = 20;
    private static final int MAX_PERCENT = 100;
    private static final Set<String> OPERATIONS =
            Set.of("lookup", "filing", "flag", "download", "dossier", "survey", "permit", "find");

    /**
     * Reads and validates a workload file.
     *
     * @param path the path of the file
     * @return the workload
     * @throws InvalidSettingsException listing all problems, if the file is invalid
     */
    public static Workload read(Path path) {
        IniReader ini = IniReader.open(path);
        ini.checkSections(Set.of("workload"), ini.sections());
        Map<String, Service> services = new LinkedHashMap<>();
        List<RequestKind> requests = new ArrayList<>();
        for (String section : ini.sections()) {
            if (section.startsWith(SERVICE_PREFIX)) {
                Service s = parseService(ini, section);
                services.put(s.name(), s);
            } else if (section.startsWith(REQUEST_PREFIX)) {
                requests.add(parseRequestKind(ini, section));
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
     * Returns the expected response body of a request, including the answers of nested calls.
     *
     * @param target the requested SERVICE/OPERATION
     * @param id the id in the query
     * @return the expected body
     */
    public String expectedBody(String target, String id) {
        String service = target.substring(0, target.indexOf('/'));
        String operation = target.substring(target.indexOf('/') + 1);
        StringBuilder nestedAnswers = new StringBuilder();
        for (String call : services.get(service).calls().getOrDefault(operation, List.of())) {
            nestedAnswers.append(expectedBody(call, id));
        }
        return AnswerBodies.textBody(service, operation, id, nestedAnswers.toString());
    }

    private static Service parseService(IniReader ini, String section) {
        Map<String, List<String>> calls = new LinkedHashMap<>();
        for (String operation : OPERATIONS) {
            ini.text(section, operation).ifPresent(v -> calls.put(operation, Arrays.asList(v.split("\\s+"))));
        }
        return new Service(
                section.substring(SERVICE_PREFIX.length()),
                (int) ini.number(section, "servers", 1, MAX_VALUE, 1),
                (int) ini.number(section, "slots", 1, MAX_VALUE, DEFAULT_SLOTS),
                (int) ini.number(section, "service-ms", 0, MAX_VALUE, 1),
                (int) ini.number(section, "cold-ms", 0, MAX_VALUE, 0),
                (int) ini.number(section, "fail-percent", 0, MAX_PERCENT, 0),
                calls);
    }

    private static RequestKind parseRequestKind(IniReader ini, String section) {
        return new RequestKind(
                section.substring(REQUEST_PREFIX.length()),
                ini.requiredText(section, "method"),
                ini.requiredText(section, "target"),
                (int) ini.number(section, "share", 1, MAX_VALUE, 1),
                (int) ini.number(section, "size", 0, MAX_VALUE, 0));
    }

    /**
     * A service.
     *
     * @param name the service's name
     * @param servers the number of servers
     * @param slots how many calls a server executes concurrently
     * @param serviceMillis duration of a call, in milliseconds
     * @param coldMillis duration of the cold start of a server, in milliseconds
     * @param failPercent percentage of calls that fail
     * @param calls the nested calls of each operation, as SERVICE/OPERATION
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
     * @param name the kind's name
     * @param method the HTTP method
     * @param target the called SERVICE/OPERATION
     * @param share the weight of the kind among all requests
     * @param size the size of the answer in bytes, 0 for a short text
     */
    public record RequestKind(String name, String method, String target, int share, int size) {
        /**
         * Returns whether requests of this kind must run at most once.
         *
         * @return whether the kind is non-idempotent
         */
        public boolean nonIdempotent() {
            return method.equals("POST");
        }
    }
}
