import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The operator adds a batch route that is public; a client submits a job there and reads its results.
 *
 * Without the change the client does the same on the batch route that was there before. Exits with 1 if an entry answers
 * 404 for the accepted job, or if its results can't be read at the end.
 */
final class PublicJobs {
    private static final String JOB = "7c41e09b52d6a3f8";
    private static final int ITEMS = 10;
    private static final int EVENTS = 20;

    /** `config_ms` of the deployment, and time beside it that the case waits after the change. */
    private static final int CONFIG_MS = 2000;
    private static final int MARGIN_MS = 5000;

    /** `settle_ms` of the deployment. */
    private static final int SETTLE_MS = 1000;

    /** `finish_s` of the deployment. */
    private static final int FINISH_S = 18;
    private static final Map<String, String> CALLER = Map.of("Host", "a.example", "Credential", "key-a");

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(arguments[1]));
                Store store = new Store();
                Fleet fleet = new Fleet(Path.of(arguments[0]), store.address())) {
            status = run(record, store, fleet, hasTrouble);
            record.line("exit status %d", status);
        } catch (Exception exception) {
            exception.printStackTrace();
        }
        System.exit(status);
    }

    private static Map<String, Object> batchRoute(String name, boolean isPublic) {
        return Fleet.route(name, "batch", "svc", "timeout_ms", 15000, "target_latency_ms", 400, "max_attempts", 3,
            "target_done_ms", 18000, "retention_s", 60, "max_count", 1200000, "resumable", true, "public", isPublic);
    }

    private static int run(Record record, Store store, Fleet fleet, boolean hasTrouble) throws Exception {
        List<Map<String, Object>> routes = new ArrayList<>(List.of(batchRoute("old", false)));
        Map<String, Object> configuration = Fleet.configuration(routes, List.of("svc"));
        store.write("config", "main", new LinkedHashMap<>(configuration));
        AtomicInteger finished = new AtomicInteger();
        for (int number = 0; number < 3; number++) {
            new Worker(store, "i-" + number, "svc", "abc".substring(number, number + 1), 8,
                (worker, request, socket, out) -> generate(record, finished, worker, request, out));
        }
        List<Fleet.Machine> entries = new ArrayList<>();
        for (int number = 0; number < 2; number++) {
            entries.add(fleet.start("entry", number, "abc".substring(number, number + 1)));
        }
        for (int number = 0; number < 3; number++) {
            fleet.start("batch", 20 + number, "abc".substring(number, number + 1));
        }
        if (!fleet.awaitReady(25)) {
            return 2;
        }
        Thread.sleep(2000);
        String prefix = "/old/";
        if (hasTrouble) {
            prefix = "/new/";
            routes.add(batchRoute("new", true));
            configuration.put("version", 9);
            store.write("config", "main", configuration);
            record.line("the store has acknowledged version 9, which adds the public batch route /new/");
        }
        Thread.sleep(CONFIG_MS + MARGIN_MS);
        return submitAndRead(record, entries, finished, prefix);
    }

    private static int submitAndRead(
            Record record, List<Fleet.Machine> entries, AtomicInteger finished, String prefix) throws Exception {
        Map<String, String> headers = new LinkedHashMap<>(CALLER);
        headers.put("Attempt-Id", JOB);
        Http.Reply accepted = Http.call(entries.get(0).front, "POST", prefix + JOB, headers, submission(prefix), 4000);
        record.line("client submits job %s with %d items at %s: %s", JOB, ITEMS, prefix, accepted);
        if (!accepted.is(202)) {
            return 2;
        }
        Thread.sleep(SETTLE_MS + 500);
        int missing = 0;
        int next = 0;
        double until = record.seconds() + FINISH_S;
        for (int round = 0; next < ITEMS && record.seconds() < until; round++) {
            Http.Reply reply = Http.call(entries.get(round % entries.size()).front, "GET", "/lots/" + JOB + "?after=" + next,
                CALLER, new byte[0], 4000);
            if (reply.is(200)) {
                next = ((Long) Json.object(reply.answer().text()).get("next")).intValue();
            } else if (reply.is(404)) {
                missing++;
            }
            record.line("client reads the results: %s, next %d; workers finished %d", reply, next, finished.get());
            Thread.sleep(500);
        }
        String item = String.format("%016x", 1);
        record.line("client reads the body of item 1: %s",
            Http.call(entries.get(0).front, "GET", "/items/" + JOB + "?id=" + item, CALLER, new byte[0], 4000));
        record.line("client reads the results without a key: %s",
            Http.call(entries.get(0).front, "GET", "/lots/" + JOB, Map.of("Host", "a.example"), new byte[0], 4000));
        record.line("answers 404: %d; read %d of %d results; workers finished %d", missing, next, ITEMS, finished.get());
        return missing == 0 && next == ITEMS ? 0 : 1;
    }

    private static boolean generate(
            Record record, AtomicInteger finished, Worker worker, Http.Message request, OutputStream out) throws Exception {
        String id = request.header("Attempt-Id");
        record.line("worker %s runs item %s, Tenant %s", worker.id, id, request.header("Tenant"));
        String last = request.header("Last-Event-Id");
        out.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Stamp: stamp-" + id
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes());
        for (int number = last == null ? 1 : Integer.parseInt(last) + 1; number <= EVENTS; number++) {
            String event = "id: " + number + "\ndata: " + id + "-" + number + "\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
            out.flush();
            Thread.sleep(20);
        }
        out.write("0\r\n\r\n".getBytes());
        out.flush();
        finished.incrementAndGet();
        return true;
    }

    private static byte[] submission(String prefix) {
        StringBuilder body = new StringBuilder("{\"items\":[");
        for (int number = 1; number <= ITEMS; number++) {
            body.append(number == 1 ? "" : ",")
                .append(String.format("{\"id\":\"%016x\",\"path\":\"%s3/91c4\",", number, prefix))
                .append("\"headers\":{\"Model\":\"m\",\"Token-Usage\":\"350,182\"},")
                .append("\"body\":\"q83vEjRWeJA=\",\"tokens\":532}");
        }
        return body.append("]}").toString().getBytes();
    }
}
