import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A worker: registers in the store, renews its entry, and gives each request to a handler. */
final class Worker implements AutoCloseable {
    interface Handler {
        /** Answers [request] on [out]; returns whether the connection is kept. */
        boolean handle(Worker worker, Http.Message request, Socket socket, OutputStream out) throws Exception;
    }

    final String id;
    private final ServerSocket listener;
    private final Store store;
    private final String service;
    private final String zone;
    private final int slots;
    private final Handler handler;
    private final AtomicLong callSeq = new AtomicLong();
    private final long born = System.currentTimeMillis();
    private volatile boolean isClosed = false;

    Worker(Store store, String id, String service, String zone, int slots, Handler handler) throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.handler = handler;
        listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        daemon(this::acceptAll);
        daemon(this::beat);
    }

    static Thread daemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void beat() {
        try {
            while (!isClosed) {
                Map<String, Object> entry = new LinkedHashMap<>();
                entry.put("service", service);
                entry.put("address", address());
                entry.put("zone", zone);
                entry.put("version", "v1");
                entry.put("slots", slots);
                entry.put("state", "ready");
                entry.put("cold_left_ms", 0);
                entry.put("call_seq", callSeq.get());
                entry.put("born", born);
                store.write("servers", id, entry);
                Thread.sleep(1200);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void acceptAll() {
        while (!isClosed) {
            try {
                Socket socket = listener.accept();
                daemon(() -> serve(socket));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Message request = Http.read(in, false);
                if (request == null || !request.isComplete()) {
                    return;
                }
                if (!handler.handle(this, request, socket, socket.getOutputStream())) {
                    return;
                }
            }
        } catch (Exception exception) {
            // The caller closed the connection, or the handler ends it this way.
        }
    }

    @Override
    public void close() throws IOException {
        isClosed = true;
        listener.close();
    }
}
