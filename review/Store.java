import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's metadata store, as PROTOCOL.md describes it; keeps all its history. */
final class Store implements AutoCloseable {
    /** What a case wants to happen to one call. */
    enum Fate { SERVED, BUSY }

    /** Decides the fate of a call. */
    interface Trouble {
        Fate fateOf(String method, String path);
    }

    private record Event(long revision, String kind, Map<String, Object> object, boolean deleted) {}

    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;

    /** Most bytes of one object, `value_bytes` in the settings. */
    private static final int VALUE_BYTES = 1_048_576;

    volatile Trouble trouble = (method, path) -> Fate.SERVED;
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(runnable -> {
        Thread thread = new Thread(runnable);
        thread.setDaemon(true);
        return thread;
    });
    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    private long revision = 100;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        server.setExecutor(threads);
        server.createContext("/objects/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes an object as an operator or a worker does. */
    synchronized void write(String kind, String name, Object spec) {
        Map<String, Object> current = kindOf(kind).get(name);
        Map<String, Object> object = current == null ? created(name) : new LinkedHashMap<>(current);
        object.put("spec", spec);
        publish(kind, name, object);
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> current = kindOf(kind).remove(name);
        if (current != null) {
            revision++;
            events.add(new Event(revision, kind, current, true));
            notifyAll();
        }
    }

    private TreeMap<String, Map<String, Object>> kindOf(String kind) {
        return kinds.computeIfAbsent(kind, unused -> new TreeMap<>());
    }

    private Map<String, Object> created(String name) {
        Map<String, Object> metadata = new LinkedHashMap<>();
        metadata.put("name", name);
        metadata.put("revision", 0L);
        metadata.put("create_revision", revision + 1);
        metadata.put("finalizers", List.of());
        metadata.put("deleting", false);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("metadata", metadata);
        object.put("spec", null);
        object.put("status", null);
        return object;
    }

    private void publish(String kind, String name, Map<String, Object> object) {
        revision++;
        Map<String, Object> metadata = new LinkedHashMap<>(metadataOf(object));
        metadata.put("revision", revision);
        object.put("metadata", metadata);
        kindOf(kind).put(name, object);
        events.add(new Event(revision, kind, object, false));
        notifyAll();
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> metadataOf(Map<String, Object> object) {
        return (Map<String, Object>) object.get("metadata");
    }

    private static long revisionOf(Map<String, Object> object) {
        return (Long) metadataOf(object).get("revision");
    }

    private record Answer(int status, Object body) {}

    private void handle(HttpExchange exchange) throws IOException {
        try {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            String method = exchange.getRequestMethod();
            URI uri = exchange.getRequestURI();
            Fate fate = trouble.fateOf(method, uri.toString());
            Answer answer = fate == Fate.BUSY ? new Answer(503, Map.of()) : answer(method, uri, body);
            byte[] bytes = Json.write(answer.body).getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().add("Content-Type", "application/json");
            exchange.sendResponseHeaders(answer.status, bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        } catch (InterruptedException | RuntimeException exception) {
            exchange.close();
        }
    }

    private Answer answer(String method, URI uri, String body) throws InterruptedException {
        String[] parts = uri.getPath().substring("/objects/".length()).split("/", 3);
        Map<String, String> query = queryOf(uri);
        String kind = parts[0];
        if (parts.length == 1 && method.equals("GET")) {
            return query.containsKey("watch") ? watch(kind, query) : list(kind, query.getOrDefault("after", ""));
        }
        synchronized (this) {
            if (parts.length == 1) {
                return isTooLarge(body) ? new Answer(413, Map.of()) : create(kind, Json.object(body));
            }
            Map<String, Object> current = kindOf(kind).get(parts[1]);
            if (current == null) {
                return new Answer(404, Map.of());
            }
            if (method.equals("GET")) {
                return new Answer(200, current);
            }
            return change(method, kind, parts, query, body, current);
        }
    }

    private Answer change(
            String method, String kind, String[] parts, Map<String, String> query, String body,
            Map<String, Object> current) {
        if (method.equals("DELETE")) {
            if (query.containsKey("revision") && Long.parseLong(query.get("revision")) != revisionOf(current)) {
                return new Answer(409, current);
            }
            remove(kind, parts[1]);
            return new Answer(200, current);
        }
        if (isTooLarge(body)) {
            return new Answer(413, Map.of());
        }
        Map<String, Object> sent = Json.object(body);
        Map<String, Object> metadata = metadataOf(sent);
        Object expected = metadata == null ? null : metadata.get("revision");
        if (expected instanceof Long number && number != revisionOf(current)) {
            return new Answer(409, current);
        }
        Map<String, Object> object = new LinkedHashMap<>(current);
        String field = parts.length == 3 ? "status" : "spec";
        if (!java.util.Objects.equals(object.get(field), sent.get(field))) {
            object.put(field, sent.get(field));
            publish(kind, parts[1], object);
        }
        return new Answer(200, object);
    }

    private static boolean isTooLarge(String body) {
        return body.getBytes(StandardCharsets.UTF_8).length > VALUE_BYTES;
    }

    private Answer create(String kind, Map<String, Object> sent) {
        String name = (String) metadataOf(sent).get("name");
        Map<String, Object> current = kindOf(kind).get(name);
        if (current != null) {
            return new Answer(409, current);
        }
        Map<String, Object> object = created(name);
        object.put("spec", sent.get("spec"));
        publish(kind, name, object);
        return new Answer(201, object);
    }

    private synchronized Answer list(String kind, String after) {
        List<Object> items = new ArrayList<>();
        long bytes = 0;
        boolean more = false;
        for (Map<String, Object> object : kindOf(kind).tailMap(after, false).values()) {
            bytes += Json.write(object).length();
            if (items.size() == PAGE_ITEMS || (bytes > PAGE_BYTES && !items.isEmpty())) {
                more = true;
                break;
            }
            items.add(object);
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("items", items);
        body.put("more", more);
        body.put("as_of", revision);
        return new Answer(200, body);
    }

    private synchronized Answer watch(String kind, Map<String, String> query) throws InterruptedException {
        long since = Long.parseLong(query.get("watch"));
        long until = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (true) {
            List<Object> found = new ArrayList<>();
            for (Event event : events) {
                if (event.revision > since && event.kind.equals(kind)) {
                    Map<String, Object> entry = new LinkedHashMap<>();
                    entry.put("deleted", event.deleted);
                    entry.put("object", event.object);
                    found.add(entry);
                }
            }
            long left = until - System.currentTimeMillis();
            if (!found.isEmpty() || left <= 0) {
                Map<String, Object> body = new LinkedHashMap<>();
                body.put("events", found);
                body.put("as_of", revision);
                return new Answer(200, body);
            }
            wait(left);
        }
    }

    private static Map<String, String> queryOf(URI uri) {
        Map<String, String> query = new HashMap<>();
        if (uri.getQuery() != null) {
            for (String part : uri.getQuery().split("&")) {
                String[] pair = part.split("=", 2);
                query.put(pair[0], pair.length == 2 ? pair[1] : "");
            }
        }
        return query;
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
