import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import standins.Caller;
import standins.Case;
import standins.Deployment;
import standins.Json;
import standins.PlatformStore;
import standins.Record;
import standins.Worker;

/** Batch jobs arrive while the platform's store is slow, and then the store is down for some seconds. */
public final class RefusedJobs {
    private static final String HOST = "jobs.example";
    private static final String KEY = "key-1";
    private static final int JOBS = 84;
    private static final long PAUSE_MILLIS = 25;
    private static final long DEADLINE_MILLIS = 4000;
    /** 60 times the 4 ms that an answer of the store takes, as in the site file. */
    private static final long SLOW_MILLIS = 240;
    private static final long SLOW_FOR_MILLIS = 3000;
    private static final long DOWN_FOR_MILLIS = 4500;

    public static void main(String[] arguments) {
        Case.main(arguments, RefusedJobs::run);
    }

    private static boolean run(Path folder, boolean hasTrouble) throws Exception {
        Record record = new Record(folder.resolve("record.txt"));
        PlatformStore store = new PlatformStore("127.0.70.1");
        for (int i = 0; i < 3; i++) {
            new Worker(store, record, "127.0.73." + (i + 1), 0,
                    new Worker.Settings("i-models-" + i, "models", "v1", Deployment.zone(i), 8, 10, 20));
        }
        store.write("config", "main", configuration());
        try (Deployment deployment = new Deployment(store.address(), record)) {
            deployment.startAll(3, 3);
            Thread.sleep(3000);
            return play(deployment, store, record, hasTrouble);
        }
    }

    private static boolean play(Deployment deployment, PlatformStore store, Record record, boolean hasTrouble) throws Exception {
        Map<String, List<Integer>> attempts = new ConcurrentHashMap<>();
        if (hasTrouble) {
            store.delayMillis = SLOW_MILLIS;
            record.write("store slow: each call takes " + SLOW_MILLIS + " ms");
            Thread outage = new Thread(() -> failStore(store, record));
            outage.setDaemon(true);
            outage.start();
        }
        Thread.sleep(SLOW_FOR_MILLIS - JOBS * PAUSE_MILLIS);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String job = String.format("%016x", 0xa0b1c2d3e4000000L + i);
            int first = i;
            Thread client = new Thread(() -> attempts.put(job, submit(deployment, job, first, record)));
            client.start();
            clients.add(client);
            Thread.sleep(PAUSE_MILLIS);
        }
        for (Thread client : clients) client.join();
        Thread.sleep(15_000);
        return areKept(attempts, record);
    }

    private static void failStore(PlatformStore store, Record record) {
        try {
            Thread.sleep(SLOW_FOR_MILLIS);
            store.isDown = true;
            store.delayMillis = 0;
            record.write("store down: each call is answered 503 and not carried out");
            Thread.sleep(DOWN_FOR_MILLIS);
            store.isDown = false;
            record.write("store up");
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** Submits [job] until it is accepted or its client's time is over; returns the statuses, 0 for no answer. */
    private static List<Integer> submit(Deployment deployment, String job, int first, Record record) {
        byte[] body = Json.write(Json.of("items", List.of(Json.of("id", "1" + job.substring(1), "path", "/sweep/" + job,
                "headers", Json.of("Model", "m", "Token-Usage", "100,70"), "body", "AAAA", "tokens", 170))))
                .getBytes(StandardCharsets.UTF_8);
        List<Integer> statuses = new ArrayList<>();
        long until = System.nanoTime() + DEADLINE_MILLIS * 1_000_000;
        for (int attempt = 0; ; attempt++) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) return statuses;
            Caller.Answer answer = Caller.call(deployment.callerAddress((first + attempt) % 3), "POST", "/sweep/" + job,
                    Map.of("Host", HOST, "Credential", KEY, "Attempt-Id", job, "Content-Type", "application/json"), body, left);
            statuses.add(answer.status());
            record.write("job " + job + " attempt " + (attempt + 1) + " at entry " + (first + attempt) % 3 + " status=" + answer.status());
            if (answer.status() == 202 || answer.status() == 400) return statuses;
            long retryAfter = (long) (1000 * Double.parseDouble(answer.headers().getOrDefault("retry-after", "0.3")));
            left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) return statuses;
            try {
                Thread.sleep(Math.min(retryAfter, left / 3));
            } catch (InterruptedException exception) {
                return statuses;
            }
            if ((until - System.nanoTime()) / 1_000_000 < 100) return statuses;
        }
    }

    /** Whether no job has run that was refused at each attempt. */
    private static boolean areKept(Map<String, List<Integer>> attempts, Record record) {
        boolean areKept = true;
        int refused = 0;
        for (String job : attempts.keySet().stream().sorted().toList()) {
            boolean isRefused = attempts.get(job).stream().allMatch(it -> it == 429 || it == 503 || it == 408 || it == 421);
            if (!isRefused) continue;
            refused++;
            List<String> runs = record.containing("run begins").stream().filter(it -> it.contains("path=/sweep/" + job)).toList();
            if (!runs.isEmpty()) {
                areKept = false;
                record.write("BROKEN job " + job + " was answered " + attempts.get(job) + " and ran: " + runs.get(0).trim());
            }
        }
        record.write((areKept ? "held" : "broken") + ": " + refused + " of " + attempts.size() + " jobs were refused at each attempt");
        return areKept;
    }

    private static Map<String, Object> configuration() {
        return Json.of("version", 1,
                "routes", List.of(Json.of("name", "r-sweep", "host", HOST, "path_prefix", "/sweep/", "kind", "batch", "timeout_ms", 15000,
                        "target_latency_ms", 400, "target_done_ms", 18000, "priority", 2, "service", "models",
                        "max_attempts", 3, "retention_s", 60, "max_count", 1200000, "public", false)),
                "services", List.of(Json.of("name", "models", "health_path", "/health", "max_conns", 210, "protocol", "h1", "tls", false)),
                "limits", Json.of("max_header_bytes", 16384, "max_body_bytes", 4194304, "header_timeout_ms", 3000, "idle_timeout_ms", 15000),
                "tenants", List.of(Json.of("name", "tenant-1", "api_keys", List.of(KEY), "rate_per_s", 0, "burst", 0)));
    }
}
