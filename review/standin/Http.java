import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 client and server for the stand-ins of the review cases. */
final class Http {
    private Http() {}

    /** A request or a response as it was read. */
    static final class Message {
        String startLine;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** Handles one request. Returns false to close the connection. */
    interface Handler {
        boolean handle(Message request, OutputStream out) throws Exception;
    }

    /** Serves connections on a free or given port, one thread for each connection. */
    static final class Server implements AutoCloseable {
        final ServerSocket listener;

        Server(String host, int port, Handler handler) throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(host, port), 256);
            daemon(() -> accept(handler));
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        }

        private void accept(Handler handler) {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    daemon(() -> serve(socket, handler));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Socket socket, Handler handler) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
                OutputStream out = socket.getOutputStream();
                while (true) {
                    Message request = read(in, false);
                    if (request == null || !handler.handle(request, out)) return;
                }
            } catch (Exception broken) {
                // The peer left.
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /** One client connection. */
    static final class Connection implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;

        Connection(String host, int port, int timeoutMs) throws IOException {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            socket.connect(new InetSocketAddress(host, port), 1_000);
            in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            out = socket.getOutputStream();
        }

        /** Sends a request and returns the whole response; throws if the connection ends before it. */
        Message call(String method, String target, Map<String, String> headers, byte[] body) throws IOException {
            send(method, target, headers, body);
            Message response = read(in, true);
            if (response == null) throw new EOFException("closed without an answer");
            return response;
        }

        void send(String method, String target, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body != null) head.append("Content-Length: ").append(body.length).append("\r\n");
            out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            if (body != null) out.write(body);
            out.flush();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Reads one message, or returns null if the connection ends before its first byte. */
    static Message read(InputStream in, boolean isResponse) throws IOException {
        String line = line(in);
        if (line == null) return null;
        Message message = new Message();
        message.startLine = line;
        while (!(line = required(in)).isEmpty()) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        String length = message.header("content-length");
        if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(required(in).split(";")[0].trim(), 16);
                if (size > 0) body.write(exactly(in, size));
                if (size == 0) {
                    while (!required(in).isEmpty()) continue;
                    break;
                }
                required(in);
            }
            message.body = body.toByteArray();
        } else if (length != null) {
            message.body = exactly(in, Integer.parseInt(length));
        } else if (isResponse && message.status() != 204 && message.status() != 304) {
            message.body = in.readAllBytes();
        }
        return message;
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("the body ends after " + bytes.length + " of " + size);
        return bytes;
    }

    private static String required(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) throw new EOFException("the message ends early");
        return line;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                if (bytes.size() == 0) return null;
                throw new EOFException("the line ends early");
            }
            if (next != '\r') bytes.write(next);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Writes a response with a length. */
    static void answer(OutputStream out, int status, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length + "\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        whole.write(body);
        out.write(whole.toByteArray());
        out.flush();
    }

    static Map<String, String> headers(String... namesAndValues) {
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) headers.put(namesAndValues[i], namesAndValues[i + 1]);
        return headers;
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
