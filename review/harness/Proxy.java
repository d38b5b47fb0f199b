import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP proxy on loopback whose open connections can go silent for good, without a reset, while new ones work. */
final class Proxy implements AutoCloseable {
    private static final class Link {
        final Socket near;
        final Socket far;
        volatile boolean isSilent = false;

        Link(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }

        void close() {
            try {
                near.close();
                far.close();
            } catch (IOException exception) {
                // Both ends are given up anyway.
            }
        }
    }

    private final ServerSocket listener;
    private final String[] target;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();

    Proxy(String target) throws IOException {
        this.target = target.split(":");
        listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Worker.daemon(this::acceptAll);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Makes all open connections silent; returns how many. */
    int silenceOpenConnections() {
        links.forEach(link -> link.isSilent = true);
        return links.size();
    }

    private void acceptAll() {
        while (true) {
            try {
                Socket near = listener.accept();
                Socket far = new Socket();
                far.connect(new InetSocketAddress(target[0], Integer.parseInt(target[1])), 1000);
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                Link link = new Link(near, far);
                links.add(link);
                Worker.daemon(() -> copy(link, near, far));
                Worker.daemon(() -> copy(link, far, near));
            } catch (IOException exception) {
                if (listener.isClosed()) {
                    return;
                }
            }
        }
    }

    /** Passes bytes on until one end closes; a silent link swallows them, and its end is not passed on either. */
    private void copy(Link link, Socket from, Socket to) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                if (!link.isSilent) {
                    out.write(buffer, 0, count);
                    out.flush();
                }
            }
        } catch (IOException exception) {
            // One end is gone.
        }
        if (!link.isSilent) {
            links.remove(link);
            link.close();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        links.forEach(Link::close);
    }
}
