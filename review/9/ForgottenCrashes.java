import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/**
 * One `safe` request crashes each sampler that begins to run it, and comes again each few seconds. With the disruption
 * all processes are killed at the same time, three times, and start again.
 */
final class ForgottenCrashes {
    static final double CONTACT = 3;
    record Crash(double at, String sampler, String attempt) { }
    static final List<Crash> crashes = Collections.synchronizedList(new ArrayList<>());
    static final List<double[]> unstable = new ArrayList<>();   // from a kill to 3 s after all processes are ready again

    static final class Fragile extends Bed.Sampler {
        private final Bed bed;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private final int number, start;

        Fragile(Bed bed, int number, int start) {
            bed.super("i-app-" + number + "-" + start, "wuno96b", "127.0.3." + number, null, 6);
            this.bed = bed;
            this.number = number;
            this.start = start;
        }

        @Override boolean serve(Bed.Request r, Socket socket, OutputStream out) throws Exception {
            open.add(socket);
            return super.serve(r, socket, out);
        }

        @Override boolean run(Bed.Request r, Socket socket, OutputStream out) throws Exception {
            if (!r.path.endsWith("/poison")) return super.run(r, socket, out);
            crashes.add(new Crash(Bed.now(), id, r.headers.get("Zinniahoist-Request-Id")));
            bed.note("sampler %s: crashes at %s", id, r.headers.get("Zinniahoist-Request-Id"));
            server.close();
            for (Socket s : open) { s.setSoLinger(true, 0); s.close(); }
            bed.threads.submit(() -> {
                Thread.sleep(1500);
                listed = false;
                Thread.sleep(1500);
                bed.add(new Fragile(bed, number, start + 1));
                return null;
            });
            return false;
        }
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Bed bed = new Bed(Path.of(arguments[0]));
        try {
            bed.startPlatform();
            for (int i = 1; i <= 4; i++) bed.add(new Fragile(bed, i, 0));
            bed.startSmall(450);
            Bed.Answer configured = bed.operator("POST", "/api/config/replace", configuration(), 30);
            if (configured.status != 200 || !bed.awaitReady(20)) bed.finish(2, "the system did not start: " + configured);
            Thread.sleep(3000);
            for (int round = 0; round < 4; round++) {
                if (round > 0) {
                    double from = Bed.now();
                    if (trouble) {
                        for (Bed.Machine m : bed.machines.values()) m.wanted = false;
                        for (Bed.Machine m : bed.machines.values()) m.signal("KILL");
                        for (Bed.Machine m : bed.machines.values()) m.process.waitFor();
                        Thread.sleep(1500);
                        for (Bed.Machine m : bed.machines.values()) m.start();
                        if (!bed.awaitReady(15)) bed.finish(2, "the system did not come back");
                        Thread.sleep(4000);
                    } else Thread.sleep(6000);
                    unstable.add(new double[] { from, Bed.now() });
                }
                for (int i = 0; i < 6; i++) {
                    String attempt = String.format("9c41d07b%04x%04x", round, i), address = bed.entries().get(i % 2).address;
                    Bed.Answer answer = Bed.call(address, bed.front, "POST", "/lohu930/poison", "ficu95.example", Map.of("Zinniahoist-Request-Id", attempt, "Zinniahoist-Deadline-Ms", "2000"), "the same body".getBytes(), 3000);
                    bed.note("client: %s at %s -> %s", attempt, address, answer);
                    Thread.sleep(1800);
                }
            }
            check(bed);
        } catch (Throwable t) {
            t.printStackTrace();
            bed.finish(2, "the case could not run: " + t);
        }
    }

    private static void check(Bed bed) {
        if (crashes.size() < 3) bed.finish(2, "the request crashed only " + crashes.size() + " samplers");
        double from = crashes.get(2).at() + CONTACT;
        Set<String> retries = new TreeSet<>();
        for (Crash c : crashes) if (c.at() > from && unstable.stream().noneMatch(u -> c.at() >= u[0] && c.at() < u[1])) retries.add(c.attempt());
        bed.finish(retries.size() > 3 ? 1 : 0, (retries.size() > 3 ? "BUDGET broken: " : "BUDGET held: ") + crashes.size() + " samplers crashed; " + retries.size() + " retries reached samplers later than 3 s after the third crash, from machines in touch: " + retries);
    }

    private static String configuration() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-7yd4a3h\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/lohu930/\",\"routeType\":\"safe\",\"timeoutMs\":2000,\"targetLatencyMs\":185,\"priority\":2,\"service\":\"wuno96b\",\"maxAttempts\":2}],"
            + "\"services\":[{\"name\":\"wuno96b\",\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":33554432,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }
}
