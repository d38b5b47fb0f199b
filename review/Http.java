import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Plain HTTP/1.1 on sockets, for clients and workers that must control each byte. */
final class Http {
    private Http() {}

    /** A request or an answer; header names are in lower case. */
    record Message(String startLine, Map<String, String> headers, byte[] body, boolean isComplete) {
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String path() {
            return startLine.split(" ")[1];
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** An answer to a client, or why there is none. */
    record Reply(Message answer, String failure) {
        boolean is(int status) {
            return answer != null && answer.isComplete() && answer.status() == status;
        }

        @Override
        public String toString() {
            if (answer == null) {
                return "no answer: " + failure;
            }
            return answer.status() + (answer.isComplete() ? "" : " incomplete");
        }
    }

    /** Reads one line without its end, or returns null at the end of the stream. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                return bytes.size() == 0 ? null : bytes.toString(StandardCharsets.ISO_8859_1);
            }
            if (next == '\n') {
                return bytes.toString(StandardCharsets.ISO_8859_1);
            }
            if (next != '\r') {
                bytes.write(next);
            }
        }
    }

    /** Reads a message; returns null if the stream ends before it. */
    static Message read(InputStream in, boolean isAnswer) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            if (colon > 0) {
                headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            }
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean isComplete = true;
        try {
            if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                readChunks(in, body);
            } else if (headers.containsKey("content-length")) {
                int length = Integer.parseInt(headers.get("content-length"));
                byte[] bytes = in.readNBytes(length);
                body.write(bytes);
                isComplete = bytes.length == length;
            } else if (isAnswer) {
                in.transferTo(body);
            }
        } catch (IOException exception) {
            isComplete = false;
        }
        return new Message(start, headers, body.toByteArray(), isComplete);
    }

    private static void readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = line(in);
            if (size == null) {
                throw new EOFException();
            }
            int length = Integer.parseInt(size.trim(), 16);
            byte[] bytes = in.readNBytes(length);
            body.write(bytes);
            if (bytes.length < length) {
                throw new EOFException();
            }
            String end = line(in);
            if (end == null) {
                throw new EOFException();
            }
            if (length == 0) {
                return;
            }
        }
    }

    /** Sends one request on a new connection and reads the answer. */
    static Reply call(String address, String method, String path, Map<String, String> headers, byte[] body, int timeoutMs) {
        String[] parts = address.split(":");
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1000);
            socket.setSoTimeout(timeoutMs);
            send(socket.getOutputStream(), method, path, headers, body);
            Message answer = read(new BufferedInputStream(socket.getInputStream()), true);
            return answer == null ? new Reply(null, "closed") : new Reply(answer, null);
        } catch (IOException | RuntimeException exception) {
            return new Reply(null, exception.toString());
        }
    }

    static void send(OutputStream out, String method, String path, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        bytes.write(body);
        out.write(bytes.toByteArray());
        out.flush();
    }
}
