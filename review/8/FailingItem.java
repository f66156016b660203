import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/**
 * A batch job with one item that fails at each run: samplers answer it 500 after 0.8 s of work. With the disruption the
 * operator moves the job's route to another service and back, one change each 2 s.
 */
final class FailingItem {
    static final int ATTEMPTS = 3, CHANGES = 12;
    static final Map<String, List<Double>> failures = new ConcurrentHashMap<>();

    static final class Failing extends Bed.Sampler {
        private final Bed bed;
        private final Set<String> bad;

        Failing(Bed bed, String id, String service, String address, Set<String> bad) {
            bed.super(id, service, address, "daka510000", 12);
            this.bed = bed;
            this.bad = bad;
        }

        @Override boolean run(Bed.Request r, Socket socket, OutputStream out) throws Exception {
            String item = r.headers.get("Zinniahoist-Request-Id");
            if (!bad.contains(item)) return super.run(r, socket, out);
            bed.note("sampler %s: begins item %s, after %d answers of 500", id, item, failures.getOrDefault(item, List.of()).size());
            socket.setSoTimeout(800);
            try {
                if (socket.getInputStream().read() < 0) { bed.note("sampler %s: item %s is dropped, its connection has closed", id, item); return false; }
            } catch (SocketTimeoutException worked) { socket.setSoTimeout(0); }
            Map<String, String> headers = own(r);
            headers.put("Zinniahoist-Response-Stamp", "3e1b.07.5a2." + id);
            Bed.answer(out, 500, headers, new byte[0]);
            failures.computeIfAbsent(item, k -> Collections.synchronizedList(new ArrayList<>())).add(Bed.now());
            bed.note("sampler %s: answers item %s with 500", id, item);
            return true;
        }
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Bed bed = new Bed(Path.of(arguments[0]));
        try {
            bed.startPlatform();
            Set<String> bad = ConcurrentHashMap.newKeySet();
            for (int i = 1; i <= 6; i++) bed.add(new Failing(bed, "i-sampler-" + i, i <= 3 ? "huvo11a" : "huvo12a", "127.0.3." + i, bad));
            bed.startSmall(450);
            Bed.Answer configured = bed.operator("POST", "/api/config/replace", configuration(7), 30);
            if (configured.status != 200 || !bed.awaitReady(20)) bed.finish(2, "the system did not start: " + configured);
            Thread.sleep(3000);
            Trainer trainer = new Trainer(bed, "ficu95.example", "/pufi791/", "daka510000");
            Trainer.Job job = new Trainer.Job("7c41e09b52d6a3f8");
            byte[] body = trainer.body(job, 0, 1, 4, 4, 600, new Random(3));
            bad.add(job.items.get(5));
            trainer.submit(job, body, 5);
            if (!job.accepted) bed.finish(2, "the job was not accepted: " + job.submissions);
            Future<?> reader = bed.threads.submit(() -> {
                while (job.listed.size() < job.items.size()) if (trainer.read(job, job.listed.size(), 1000).status != 200) Thread.sleep(300);
                bed.note("trainer: all results are listed");
                return null;
            });
            double start = Bed.now();
            for (int k = 1; k <= CHANGES; k++) {
                while (Bed.now() < start + 2.0 * k) Thread.sleep(10);
                if (trouble) bed.note("operator: version %d -> %s", 7 + k, bed.operator("POST", "/api/config/replace", configuration(7 + k), 5));
            }
            try { reader.get(12, TimeUnit.SECONDS); } catch (TimeoutException e) { bed.note("trainer: %d of %d results at the end", job.listed.size(), job.items.size()); }
            check(bed, job, bad.iterator().next());
        } catch (Throwable t) {
            t.printStackTrace();
            bed.finish(2, "the case could not run: " + t);
        }
    }

    private static void check(Bed bed, Trainer.Job job, String item) {
        List<Double> failed = failures.getOrDefault(item, List.of());
        long later = 0;
        synchronized (bed.runs) {
            for (Bed.Run r : bed.runs) if (item.equals(r.id()) && failed.size() >= 3 * ATTEMPTS && r.at() > failed.get(3 * ATTEMPTS - 1)) later++;
        }
        String result = job.listed.stream().filter(l -> l.startsWith(item)).map(l -> l.split(" ")[1]).findFirst().orElse("none");
        bed.finish(later > 0 ? 1 : 0, (later > 0 ? "BUDGET broken: " : "BUDGET held: ") + failed.size() + " answers of 500, " + later + " runs after the ninth of them; result of the item: " + result + "; results " + job.listed.size() + " of " + job.items.size());
    }

    private static String configuration(int version) {
        String engine = "\"healthPath\":\"/health\",\"maxConnections\":170,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":12,\"kvCapacityTokens\":32365,\"kvTokenBytes\":18432,\"linkMbps\":2900000.0,\"moves\":true,\"backups\":true,\"stride\":53,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"daka510000\"}]}}";
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-wrr6x73\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/pufi791/\",\"routeType\":\"rollout\",\"timeoutMs\":10000,\"targetLatencyMs\":400,\"priority\":1,\"service\":\""
            + (version % 2 == 1 ? "huvo11a" : "huvo12a") + "\",\"maxAttempts\":" + ATTEMPTS + ",\"maxQueueS\":40.0,\"runTargetMs\":7500,\"singleVersion\":false,\"sessionAffinity\":true,\"resumable\":true}],"
            + "\"services\":[{\"name\":\"huvo11a\"," + engine + ",{\"name\":\"huvo12a\"," + engine + "],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":33554432,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }
}
