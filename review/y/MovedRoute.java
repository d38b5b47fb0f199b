import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import standins.Caller;
import standins.Case;
import standins.Deployment;
import standins.Json;
import standins.PlatformStore;
import standins.Record;
import standins.Worker;

/** The batch route moves to another service while items run; callers then need the places of these items. */
public final class MovedRoute {
    private static final String HOST = "jobs.example";
    private static final String KEY = "key-1";
    private static final int ITEMS = 6;
    private static final int EVENTS = 100;
    private static final long EVENT_MILLIS = 40;

    public static void main(String[] arguments) {
        Case.main(arguments, MovedRoute::run);
    }

    private static boolean run(Path folder, boolean hasTrouble) throws Exception {
        Record record = new Record(folder.resolve("record.txt"));
        PlatformStore store = new PlatformStore("127.0.70.1");
        List<Worker.Settings> workers = new ArrayList<>();
        for (String service : List.of("alpha-models", "beta-models")) {
            for (int i = 0; i < 2; i++) {
                workers.add(new Worker.Settings("i-" + service + "-" + i, service, "v1", Deployment.zone(i), 4, EVENTS, EVENT_MILLIS));
            }
        }
        for (int i = 0; i < workers.size(); i++) new Worker(store, record, "127.0.73." + (i + 1), 0, workers.get(i));
        store.write("config", "main", configuration(1, "alpha-models"));
        try (Deployment deployment = new Deployment(store.address(), record)) {
            deployment.startAll(3, 3);
            Thread.sleep(3000);
            return play(deployment, store, record, hasTrouble, workers);
        }
    }

    private static boolean play(Deployment deployment, PlatformStore store, Record record, boolean hasTrouble,
            List<Worker.Settings> workers) throws Exception {
        String job = "a0b1c2d3e4f50617";
        Caller.Answer accepted = submit(deployment.callerAddress(0), job);
        record.write("job " + job + " submitted status=" + accepted.status());
        Case.require(accepted.status() == 202, "the job was not accepted");
        Thread.sleep(1500);
        if (hasTrouble) {
            store.write("config", "main", configuration(2, "beta-models"));
            record.write("configuration 2 acknowledged: the batch route goes to beta-models");
        }
        Thread.sleep(1000);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            String address = deployment.callerAddress(i % 3);
            String id = "ca11e400000000" + String.format("%02x", i);
            Thread caller = new Thread(() -> {
                Caller.Answer answer = Caller.call(address, "POST", "/ask/" + id, Map.of("Host", HOST, "Credential", KEY,
                        "Attempt-Id", id, "Deadline-Ms", "15000", "Model", "m", "Token-Usage", "100,100"), new byte[0], 15000);
                record.write("caller " + id + " status=" + answer.status() + " bytes=" + answer.body().length);
            });
            caller.start();
            callers.add(caller);
        }
        List<Object> results = results(deployment, job, record);
        for (Thread caller : callers) caller.join();
        return areWhole(results, record, workers);
    }

    private static Caller.Answer submit(String address, String job) {
        List<Object> items = new ArrayList<>();
        for (int i = 0; i < ITEMS; i++) {
            items.add(Json.of("id", "1" + job.substring(1, 15) + i, "path", "/sweep/" + i,
                    "headers", Json.of("Model", "m", "Token-Usage", "100,700", "Prompt-Prefix", "aa" + i + ":100"),
                    "body", "AAAA", "tokens", 800));
        }
        byte[] body = Json.write(Json.of("items", items)).getBytes(StandardCharsets.UTF_8);
        return Caller.call(address, "POST", "/sweep/" + job, Map.of("Host", HOST, "Credential", KEY, "Attempt-Id", job,
                "Content-Type", "application/json"), body, 4000);
    }

    /** Reads the results until all are listed, for 60 s at most. */
    private static List<Object> results(Deployment deployment, String job, Record record) throws Exception {
        List<Object> results = new ArrayList<>();
        for (int read = 0; read < 120 && results.size() < ITEMS; read++) {
            Caller.Answer answer = Caller.call(deployment.callerAddress(read % 3), "GET", "/lots/" + job + "?after=" + results.size(),
                    Map.of("Host", HOST, "Credential", KEY), new byte[0], 3000);
            if (answer.status() == 200) {
                List<Object> further = Json.list(Json.object(Json.parse(answer.text())).get("results"));
                results.addAll(further);
                for (Object result : further) record.write("result " + Json.object(result).get("id") + " " + Json.object(result).get("state"));
            }
            Thread.sleep(500);
        }
        return results;
    }

    /** Whether each text is the whole output of one of the workers. */
    private static boolean areWhole(List<Object> results, Record record, List<Worker.Settings> workers) {
        Case.require(results.size() == ITEMS, "not all items have a result");
        boolean areWhole = true;
        for (Object entry : results) {
            Map<String, Object> result = Json.object(entry);
            String id = (String) result.get("id");
            String text = (String) result.get("text");
            String path = "/sweep/" + id.charAt(id.length() - 1);
            boolean isWhole = "completed".equals(result.get("state")) && workers.stream().anyMatch(it -> it.wholeText(path).equals(text));
            if (!isWhole) {
                areWhole = false;
                record.write("BROKEN item " + id + ": " + joins(text));
            }
        }
        record.write(areWhole ? "held: each text is the whole output of one service" : "broken: texts are joined from two services");
        return areWhole;
    }

    /** Describes where the source of the events of [text] changes. */
    private static String joins(String text) {
        StringBuilder description = new StringBuilder();
        String before = "";
        String[] lines = text.split("\n");
        for (int i = 0; i < lines.length; i++) {
            String source = lines[i].contains("/") ? lines[i].substring(0, lines[i].indexOf('/')) : lines[i];
            if (!source.equals(before)) description.append("event ").append(i + 1).append(" from ").append(source).append("; ");
            before = source;
        }
        return description + "" + lines.length + " events";
    }

    private static Map<String, Object> configuration(int version, String batchService) {
        return Json.of("version", version,
                "routes", List.of(
                        Json.of("name", "r-ask", "host", HOST, "path_prefix", "/ask/", "kind", "stream", "timeout_ms", 15000,
                                "target_latency_ms", 300, "priority", 0, "service", "alpha-models", "max_attempts", 2, "public", false,
                                "sticky", true, "resumable", true, "gap_aim_ms", 250),
                        Json.of("name", "r-sweep", "host", HOST, "path_prefix", "/sweep/", "kind", "batch", "timeout_ms", 15000,
                                "target_latency_ms", 400, "target_done_ms", 18000, "priority", 2, "service", batchService,
                                "max_attempts", 3, "retention_s", 60, "max_count", 1200000, "public", false)),
                "services", List.of(service("alpha-models"), service("beta-models")),
                "limits", Json.of("max_header_bytes", 16384, "max_body_bytes", 4194304, "header_timeout_ms", 3000, "idle_timeout_ms", 15000),
                "tenants", List.of(Json.of("name", "tenant-1", "api_keys", List.of(KEY), "rate_per_s", 0, "burst", 0)));
    }

    private static Map<String, Object> service(String name) {
        return Json.of("name", name, "health_path", "/health", "max_conns", 210, "protocol", "h1", "tls", false);
    }
}
