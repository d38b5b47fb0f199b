import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store is down for 4.5 s while a job of 200 items runs whose text has three bytes a character.
 *
 * Exits with 1 if an item of the open job is not listed although the store has been up and the workers idle for long.
 */
final class LongPage {
    private static final String JOB = "7c41e09b52d6a3f8";
    private static final int ITEMS = 200;
    private static final int EVENTS = 182;
    private static final int EVENT_BYTES = 65;
    private static final int OUTAGE_MS = 4500;

    /** `finish_s` of the deployment: time after the traffic in which the job must be finished. */
    private static final int FINISH_S = 18;

    /** Time after `finish_s` in which the case still reads, to show that the job does not go on later. */
    private static final int LONGER_S = 20;
    private static final Map<String, String> CALLER = Map.of("Host", "a.example", "Credential", "key-a");

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(arguments[1]));
                Store store = new Store();
                Fleet fleet = new Fleet(root, store.address())) {
            status = run(record, store, fleet, hasTrouble);
            record.line("exit status %d", status);
        } catch (Exception exception) {
            exception.printStackTrace();
        }
        System.exit(status);
    }

    private static int run(Record record, Store store, Fleet fleet, boolean hasTrouble) throws Exception {
        store.write("config", "main", Fleet.configuration(
            List.of(Fleet.route("b", "batch", "svc", "timeout_ms", 15000, "target_latency_ms", 400, "max_attempts", 3,
                "target_done_ms", 18000, "retention_s", 60, "max_count", 1200000, "resumable", true)),
            List.of("svc")));
        AtomicInteger finished = new AtomicInteger();
        String text = "温".repeat((EVENT_BYTES - "id: 100\ndata: \n\n".length()) / 3);
        for (int number = 0; number < 12; number++) {
            String zone = "abc".substring(number % 3, number % 3 + 1);
            new Worker(store, "i-" + number, "svc", zone, 8,
                (worker, request, socket, out) -> generate(record, finished, text, worker, request, out));
        }
        Fleet.Machine entry = fleet.start("entry", 1, "a");
        for (int number = 0; number < 3; number++) {
            fleet.start("batch", 20 + number, "abc".substring(number, number + 1));
        }
        if (!fleet.awaitReady(25)) {
            return 2;
        }
        Thread.sleep(2000);
        Map<String, String> headers = new LinkedHashMap<>(CALLER);
        headers.put("Attempt-Id", JOB);
        Http.Reply accepted = Http.call(entry.front, "POST", "/b/" + JOB, headers, submission(), 4000);
        record.line("client submits job %s with %d items: %s", JOB, ITEMS, accepted);
        if (!accepted.is(202)) {
            return 2;
        }
        Thread.sleep(1000);
        if (hasTrouble) {
            record.line("the store answers 503 to every call");
            store.trouble = (method, path) -> Store.Fate.BUSY;
            Thread.sleep(OUTAGE_MS);
            store.trouble = (method, path) -> Store.Fate.SERVED;
            record.line("the store serves again");
        }
        int listed = listed(record, entry, finished, FINISH_S + LONGER_S);
        record.line("listed %d of %d items; workers finished %d", listed, ITEMS, finished.get());
        for (Fleet.Machine machine : fleet.machines) {
            List<String> lines = fleet.logged(machine, "results not listed");
            if (!lines.isEmpty()) {
                record.line("%s logged %d such lines, the last: %s", machine.name, lines.size(), lines.get(lines.size() - 1));
            }
        }
        return listed == ITEMS ? 0 : 1;
    }

    private static boolean generate(
            Record record, AtomicInteger finished, String text, Worker worker, Http.Message request, OutputStream out)
            throws Exception {
        String id = request.header("Attempt-Id");
        String last = request.header("Last-Event-Id");
        int from = last == null ? 0 : Integer.parseInt(last);
        out.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Stamp: stamp-" + id
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes());
        // Items take between 0.7 and 4 s, so that they do not all finish at the same moment.
        int pauseMs = 40 + Math.abs(id.hashCode() % 7) * 30;
        for (int number = from + 1; number <= EVENTS; number++) {
            byte[] event = ("id: " + number + "\ndata: " + text + "\n\n").getBytes(StandardCharsets.UTF_8);
            out.write((Integer.toHexString(event.length) + "\r\n").getBytes());
            out.write(event);
            out.write("\r\n".getBytes());
            if (number % 10 == 0) {
                out.flush();
                Thread.sleep(pauseMs);
            }
        }
        out.write("0\r\n\r\n".getBytes());
        out.flush();
        record.line("worker %s has run item %s to its end (%d)", worker.id, id, finished.incrementAndGet());
        return true;
    }

    private static byte[] submission() {
        StringBuilder body = new StringBuilder("{\"items\":[");
        for (int number = 1; number <= ITEMS; number++) {
            body.append(number == 1 ? "" : ",")
                .append(String.format("{\"id\":\"%016x\",\"path\":\"/b/3/91c4\",", number))
                .append("\"headers\":{\"Model\":\"m\",\"Token-Usage\":\"350,182\"},")
                .append("\"body\":\"q83vEjRWeJA=\",\"tokens\":532}");
        }
        return body.append("]}").toString().getBytes();
    }

    /** Reads the results until all are listed or [seconds] are over; returns how many are. */
    private static int listed(Record record, Fleet.Machine entry, AtomicInteger finished, int seconds) throws Exception {
        double until = record.seconds() + seconds;
        int next = 0;
        while (next < ITEMS && record.seconds() < until) {
            Map<String, String> headers = new LinkedHashMap<>(CALLER);
            headers.put("Wait-Ms", "1000");
            Http.Reply reply = Http.call(entry.front, "GET", "/lots/" + JOB + "?after=" + next, headers, new byte[0], 4000);
            if (reply.is(200)) {
                next = ((Long) Json.object(reply.answer().text()).get("next")).intValue();
            }
            record.line("client reads the results: %s, next %d; workers finished %d", reply, next, finished.get());
            Thread.sleep(500);
        }
        return next;
    }
}
