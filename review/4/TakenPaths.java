import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The operator adds a route whose prefix is `/`, and clients get `ready`, `items/17` and `lots/17` there.
 *
 * Without the change they get the same names below the prefix `/shop/`. Exits with 1 if a client gets a success without
 * the worker's `Server-Stamp`.
 */
final class TakenPaths {
    private static final List<String> NAMES = List.of("ready", "items/17", "lots/17", "stock");
    private static final int ROUNDS = 20;

    /** `config_ms` of the deployment, and time beside it that the case waits after the change. */
    private static final int CONFIG_MS = 2000;
    private static final int MARGIN_MS = 5000;

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

    private static int run(Record record, Store store, Fleet fleet, boolean hasTrouble) throws Exception {
        List<Map<String, Object>> routes = new ArrayList<>();
        routes.add(Fleet.route("shop", "safe", "desk", "timeout_ms", 1500, "target_latency_ms", 300, "max_attempts", 2));
        Map<String, Object> configuration = Fleet.configuration(routes, List.of("desk"));
        store.write("config", "main", new LinkedHashMap<>(configuration));
        Set<String> ran = ConcurrentHashMap.newKeySet();
        for (int number = 0; number < 3; number++) {
            new Worker(store, "i-" + number, "desk", "abc".substring(number, number + 1), 6,
                (worker, request, socket, out) -> answer(record, ran, worker, request, out));
        }
        List<Fleet.Machine> entries = new ArrayList<>();
        for (int number = 0; number < 2; number++) {
            entries.add(fleet.start("entry", number, "abc".substring(number, number + 1)));
        }
        if (!fleet.awaitReady(25)) {
            return 2;
        }
        Thread.sleep(2000);
        String prefix = "/shop/";
        if (hasTrouble) {
            Map<String, Object> route =
                Fleet.route("all", "safe", "desk", "timeout_ms", 1500, "target_latency_ms", 300, "max_attempts", 2);
            prefix = "/";
            route.put("path_prefix", prefix);
            routes.add(route);
            configuration.put("version", 9);
            store.write("config", "main", configuration);
            record.line("the store has acknowledged version 9, which adds a route with path_prefix /");
        }
        Thread.sleep(CONFIG_MS + MARGIN_MS);
        return calls(record, entries, ran, prefix);
    }

    private static boolean answer(
            Record record, Set<String> ran, Worker worker, Http.Message request, OutputStream out) throws Exception {
        String id = request.header("Attempt-Id");
        ran.add(id);
        record.line("worker %s runs %s %s id=%s", worker.id, request.method(), request.path(), id);
        byte[] body = ("answer to " + id).getBytes();
        out.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Stamp: stamp-" + id + "\r\nContent-Length: "
            + body.length + "\r\n\r\n").getBytes());
        out.write(body);
        out.flush();
        return true;
    }

    private static int calls(Record record, List<Fleet.Machine> entries, Set<String> ran, String prefix) {
        Map<String, Integer> unstamped = new LinkedHashMap<>();
        Map<String, Integer> denied = new LinkedHashMap<>();
        int served = 0;
        for (int round = 0; round < ROUNDS; round++) {
            for (String name : NAMES) {
                String id = String.format("%08x%08x", round, name.hashCode());
                Fleet.Machine entry = entries.get(round % entries.size());
                Map<String, String> headers = new LinkedHashMap<>(
                    Map.of("Host", "a.example", "Credential", "key-a", "Attempt-Id", id, "Deadline-Ms", "1500"));
                Http.Reply reply = Http.call(entry.front, "GET", prefix + name, headers, new byte[0], 3000);
                String stamp = reply.answer() == null ? null : reply.answer().header("Server-Stamp");
                record.line("client gets %s%s id=%s: %s, Server-Stamp %s, body [%s], run by a worker: %s", prefix, name, id,
                    reply, stamp, reply.answer() == null ? "" : reply.answer().text(), ran.contains(id));
                if (reply.answer() != null && reply.answer().status() / 100 == 2 && stamp == null) {
                    unstamped.merge(name, 1, Integer::sum);
                } else if (reply.answer() != null && reply.answer().status() / 100 == 4 && stamp == null) {
                    denied.merge(name, 1, Integer::sum);
                } else if (reply.is(200)) {
                    served++;
                }
            }
        }
        record.line("answers of a worker: %d; successes without Server-Stamp: %s; own 4xx: %s", served, unstamped, denied);
        return unstamped.isEmpty() ? 0 : 1;
    }
}
