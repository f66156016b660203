import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A request crashes each sampler that begins to run it, and its client sends it again, with the same path and body. Each
 * sampler is back three seconds after a crash, as a new instance. Other clients send sound requests all the while.
 */
final class CrashingRequest {
    private static final int SAMPLERS = 4;
    private static final int RESTART_MS = 3_000;
    private static final int CONTACT_MS = 3_000;
    private static final String PATH = "/safe/order/7c41";

    private CrashingRequest() {}

    /** A sampler that crashes when it begins to run a request for {@link #PATH}. */
    private static final class Sampler {
        private final Rig rig;
        private final String name;
        private final boolean crashes;
        private final List<Long> crashTimes;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private final int port;
        private int starts;
        private volatile ServerSocket listener;
        private volatile String id;

        Sampler(Rig rig, String name, boolean crashes, List<Long> crashTimes) throws IOException {
            this.rig = rig;
            this.name = name;
            this.crashes = crashes;
            this.crashTimes = crashTimes;
            listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
            port = listener.getLocalPort();
            start();
        }

        private void start() throws IOException {
            if (listener.isClosed()) {
                listener = new ServerSocket();
                listener.setReuseAddress(true);
                listener.bind(new java.net.InetSocketAddress("127.0.0.1", port), 100);
            }
            String former = id;
            id = name + "-" + ++starts;
            rig.relist(former, id, "app", "127.0.0.1:" + port, 6);
            ServerSocket current = listener;
            Http.daemon(() -> accept(current));
        }

        private void accept(ServerSocket current) {
            while (!current.isClosed()) {
                try {
                    Socket socket = current.accept();
                    open.add(socket);
                    Http.daemon(() -> serve(socket));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                Http.Message request;
                while ((request = Http.read(in, false)) != null) {
                    if (Samplers.refused(id, request, out)) continue;
                    String identifier = request.header("zinniahoist-request-id");
                    if (request.target().equals(PATH)) {
                        if (crashes) {
                            crash(identifier);
                            return;
                        }
                        rig.note(id + " ran " + identifier);
                        crashTimes.add(System.nanoTime());
                    }
                    Thread.sleep(40);
                    Http.answer(out, 200, Http.headers("Zinniahoist-Request-Id", identifier,
                        "Zinniahoist-Response-Stamp", Samplers.stampOf(identifier)), "done".getBytes());
                }
            } catch (IOException | InterruptedException gone) {
                // The peer left, or this sampler has crashed.
            } finally {
                open.remove(socket);
            }
        }

        private synchronized void crash(String identifier) throws IOException {
            if (listener.isClosed()) return;
            crashTimes.add(System.nanoTime());
            rig.note(id + " crashed as it began to run " + identifier);
            listener.close();
            for (Socket socket : open) socket.close();
            Http.daemon(() -> {
                try {
                    Thread.sleep(RESTART_MS);
                    start();
                } catch (IOException | InterruptedException failure) {
                    rig.note(name + " not started again: " + failure);
                }
            });
        }
    }

    static int run(Path folder, boolean isTroubled) throws Exception {
        try (Rig rig = new Rig(folder, 2)) {
            List<Long> runs = new CopyOnWriteArrayList<>();
            List<Sampler> samplers = new ArrayList<>();
            for (int i = 1; i <= SAMPLERS; i++) samplers.add(new Sampler(rig, "i-app-" + i, isTroubled, runs));
            rig.start(Rig.configuration(""));
            Thread.sleep(4_500);
            long end = System.nanoTime() + 40_000_000_000L;
            int[] sound = new int[2];
            Http.daemon(() -> sendSound(rig, end, sound));
            int sent = 0;
            int reachedLate = 0;
            while (System.nanoTime() < end) {
                String id = "crashing-" + sent;
                int before = runs.size();
                boolean isLate = runs.size() >= 3 && System.nanoTime() - runs.get(2) > CONTACT_MS * 1_000_000L;
                String answer = call(rig, sent % 2, id, PATH);
                Thread.sleep(50);
                if (isLate && runs.size() > before) reachedLate++;
                rig.note("sent " + id + " at " + rig.entries.get(sent % 2).name + ", answered " + answer);
                sent++;
                Thread.sleep(1_500);
            }
            rig.note("sent " + sent + ", runs " + runs.size() + ", retries that reached samplers later than " + CONTACT_MS
                + " ms after the third " + (isTroubled ? "crash " : "run ") + reachedLate + "; sound requests answered "
                + sound[0] + ", not answered " + sound[1]);
            boolean isBroken = isTroubled && reachedLate > 3;
            rig.note(isBroken ? "BROKEN" : "held");
            return isBroken ? 1 : 0;
        }
    }

    private static void sendSound(Rig rig, long end, int[] counts) {
        for (int number = 0; System.nanoTime() < end; number++) {
            counts[call(rig, number % 2, "sound-" + number, "/safe/order/" + number).equals("200") ? 0 : 1]++;
            try {
                Thread.sleep(100);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    private static String call(Rig rig, int entry, String id, String path) {
        try (Http.Connection connection = new Http.Connection(rig.entries.get(entry).host, rig.frontPort, 3_000)) {
            Map<String, String> headers = Http.headers("Host", "a.example", "Zinniahoist-Request-Id", id,
                "Zinniahoist-Deadline-Ms", "2000");
            return "" + connection.call("POST", path, headers,
                "the same basket".getBytes(StandardCharsets.UTF_8)).status();
        } catch (IOException lost) {
            return lost.toString();
        }
    }
}
