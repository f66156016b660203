import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * Clients send `unsafe` requests, on one route with three attempts and one with two, to a service of three samplers, one of which crashes now and then and starts again
 * under a new id at its address, while the list still shows the old id. With the disruption a few answers of the
 * restarted sampler come a second time, late, at the point where the next answer is expected.
 */
final class LateRejection {
    static final double SECONDS = 75;
    static final int CLIENTS = 12;
    static boolean garbles;

    /** Plain sampler that, once it is listed, repeats at most [SHARE] of its answers before its next answer on that connection. */
    static final class Repeating extends Bed.Sampler {
        static final double SHARE = 0.03;
        private final Bed bed;
        private final Map<Socket, byte[]> copies = new ConcurrentHashMap<>();
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        final int workMs;
        final AtomicInteger answers = new AtomicInteger(), repeated = new AtomicInteger();

        Repeating(Bed bed, String id, String address, int workMs) {
            bed.super(id, "wuno96b", address, null, 6);
            this.bed = bed;
            this.workMs = workMs;
        }

        @Override long workMs() { return workMs; }

        @Override boolean serve(Bed.Request r, Socket socket, OutputStream out) throws Exception {
            open.add(socket);
            byte[] copy = copies.remove(socket);
            if (copy != null) {
                repeated.incrementAndGet();
                bed.note("sampler %s: gets %s, and sends its answer before once more first", id, r.headers.get("Zinniahoist-Request-Id"));
                out.write(copy);
                out.flush();
            }
            int count = answers.incrementAndGet();
            String expected = r.headers.get("Zinniahoist-Expect-Instance");
            boolean rejects = expected != null && !expected.equals(id);
            if (!rejects) return super.serve(r, socket, out);
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            Map<String, String> headers = own(r);
            headers.put("Zinniahoist-Instance-Id", id);
            Bed.answer(bytes, 421, headers, new byte[0]);
            bed.note("sampler %s: rejects %s, which is for %s, with 421", id, r.headers.get("Zinniahoist-Request-Id"), expected);
            if (garbles && listed && repeated.get() + copies.size() + 1 <= Math.max(1, SHARE * count)) copies.put(socket, bytes.toByteArray());
            out.write(bytes.toByteArray());
            return true;
        }

        void crash() throws IOException {
            server.close();
            for (Socket s : open) s.close();
        }
    }

    public static void main(String[] arguments) throws Exception {
        garbles = !"0".equals(System.getenv("TROUBLE"));
        Bed bed = new Bed(Path.of(arguments[0]));
        try {
            bed.startPlatform();
            List<Repeating> samplers = new ArrayList<>();
            for (int i = 1; i <= 3; i++) samplers.add((Repeating) bed.add(new Repeating(bed, "i-app-" + i + "-0", "127.0.3." + i, i == 1 ? 15 : 40)));
            bed.startSmall(450);
            Bed.Answer configured = bed.operator("POST", "/api/config/replace", configuration(), 30);
            if (configured.status != 200 || !bed.awaitReady(20)) bed.finish(2, "the system did not start: " + configured);
            double end = Bed.now() + SECONDS;
            Map<String, Bed.Answer> answers = new ConcurrentHashMap<>();
            AtomicInteger next = new AtomicInteger();
            List<Future<?>> clients = new ArrayList<>();
            for (int c = 0; c < CLIENTS; c++) {
                String address = bed.entries().get(c % 2).address, prefix = c % 4 < 2 ? "/lohu930/" : "/lohu931/";
                clients.add(bed.threads.submit(() -> {
                    while (Bed.now() < end) {
                        String id = String.format("9c41d07b%08x", next.incrementAndGet());
                        Bed.Answer answer = Bed.call(address, bed.front, "POST", prefix + id, "ficu95.example", Map.of("Zinniahoist-Request-Id", id, "Zinniahoist-Deadline-Ms", "2000"), new byte[600], 3000);
                        answers.put(id, answer);
                        bed.note("client: sends %s to %s -> %s", id, address, answer);
                        Thread.sleep(120);
                    }
                    return null;
                }));
            }
            for (int round = 1; Bed.now() < end - 8; round++) {
                Thread.sleep(2000);
                restart(bed, samplers, round);
            }
            for (Future<?> c : clients) c.get();
            Thread.sleep(1000);
            check(bed, answers);
        } catch (Throwable t) {
            t.printStackTrace();
            bed.finish(2, "the case could not run: " + t);
        }
    }

    /** One sampler is down for 1.5 s; its old entry stays on the list for 5 s, and the new one is shown 0.8 s after the start. */
    private static void restart(Bed bed, List<Repeating> samplers, int round) throws Exception {
        int which = 0;
        Repeating old = samplers.get(which);
        bed.note("sampler %s crashes", old.id);
        old.crash();
        Thread.sleep(1500);
        Repeating renewed = new Repeating(bed, "i-app-" + (which + 1) + "-" + round, old.address, old.workMs);
        renewed.listed = false;
        bed.add(renewed);
        samplers.set(which, renewed);
        bed.note("sampler %s starts at the same address", renewed.id);
        Thread.sleep(800);
        renewed.listed = true;
        Thread.sleep(2700);
        old.listed = false;
    }

    private static void check(Bed bed, Map<String, Bed.Answer> answers) {
        Map<String, List<Bed.Run>> runs = new TreeMap<>();
        synchronized (bed.runs) { for (Bed.Run r : bed.runs) runs.computeIfAbsent(r.id(), k -> new ArrayList<>()).add(r); }
        int twice = 0, refused = 0, unasked = 0;
        for (var entry : runs.entrySet()) {
            Bed.Answer answer = answers.get(entry.getKey());
            List<Bed.Run> all = entry.getValue();
            if (answer == null) { unasked++; continue; }
            boolean isRefused = Set.of(429, 503, 408, 421).contains(answer.status);
            if (all.size() > 1) twice++;
            if (isRefused) refused++;
            if (all.size() > 1 || isRefused) bed.note("request %s was answered %s and run by %s", entry.getKey(), answer, all);
        }
        Map<Integer, Integer> statuses = new TreeMap<>();
        answers.values().forEach(a -> statuses.merge(a.status, 1, Integer::sum));
        int given = 0, repeated = 0;
        for (Bed.Sampler s : bed.samplers.values()) {
            given += ((Repeating) s).answers.get();
            repeated += ((Repeating) s).repeated.get();
        }
        String seen = given + " answers of samplers, " + repeated + " of them repeated; " + answers.size() + " requests, answers " + statuses + "; " + twice + " run more than once, " + refused + " refused though they ran, " + unasked + " that nobody sent";
        bed.finish(twice + refused + unasked > 0 ? 1 : 0, (twice > 0 ? "TWICE broken" : "TWICE held") + (refused > 0 ? ", REFUSED broken: " : ", REFUSED held: ") + seen);
    }

    private static String configuration() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-7yd4a3h\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/lohu930/\",\"routeType\":\"unsafe\",\"timeoutMs\":2000,\"targetLatencyMs\":185,\"priority\":2,\"service\":\"wuno96b\",\"maxAttempts\":3},"
            + "{\"name\":\"r-7yd4a3i\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/lohu931/\",\"routeType\":\"unsafe\",\"timeoutMs\":2000,\"targetLatencyMs\":185,\"priority\":2,\"service\":\"wuno96b\",\"maxAttempts\":2}],"
            + "\"services\":[{\"name\":\"wuno96b\",\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":33554432,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }
}
