import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/**
 * A trainer submits one batch job each 4 s, as on the sheets, and reads and ends it. With the disruption the jobs are
 * large: 8 MB each, a quarter of `maxBodyBytes`. No core may end by itself, and every job that was
 * answered 202 must be readable at the end.
 */
final class LargeJobs {
    static final int JOBS = 16;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int bytes = trouble ? 45_000 : 600;
        Bed bed = new Bed(Path.of(arguments[0]));
        try {
            bed.startPlatform();
            for (int i = 1; i <= 6; i++) bed.add(bed.new Sampler("i-sampler-" + i, "huvo11a", "127.0.3." + i, "daka510000", 12));
            bed.startSmall(300);
            Bed.Answer configured = bed.operator("POST", "/api/config/replace", configuration(), 30);
            if (configured.status != 200 || !bed.awaitReady(20)) bed.finish(2, "the system did not start: " + configured);
            Trainer trainer = new Trainer(bed, "ficu95.example", "/pufi791/", "daka510000");
            Random random = new Random(7);
            double start = Bed.now();
            List<Future<?>> steps = new ArrayList<>();
            for (int k = 0; k < JOBS; k++) {
                int step = k;
                double due = start + 4.0 * k;
                while (Bed.now() < due) Thread.sleep(20);
                steps.add(bed.threads.submit(() -> { step(bed, trainer, step, bytes, random); return null; }));
            }
            for (Future<?> s : steps) s.get();
            check(bed, trainer);
        } catch (Throwable t) {
            t.printStackTrace();
            bed.finish(2, "the case could not run: " + t);
        }
    }

    private static void step(Bed bed, Trainer trainer, int step, int bytes, Random random) throws Exception {
        Trainer.Job job = new Trainer.Job(String.format("%08x9b52d6a3", 0x7c41e000 + step));
        byte[] body;
        synchronized (random) { body = trainer.body(job, step, 1, 33, 4, bytes, random); }
        trainer.submit(job, body, 7);
        if (!job.accepted) return;
        double end = Bed.now() + 7.5;
        while (Bed.now() < end && job.listed.size() < job.items.size()) {
            if (trainer.read(job, job.listed.size(), 1000).status != 200) Thread.sleep(300);
        }
        bed.note("trainer: job %s has %d of %d results", job.id, job.listed.size(), job.items.size());
        trainer.end(job);
    }

    /** Reads all accepted jobs from the start, again after each failure, for 20 s in all after 12 s (`recoveryS`). */
    private static void check(Bed bed, Trainer trainer) throws Exception {
        Thread.sleep(12_000);
        List<Trainer.Job> open = new ArrayList<>(trainer.jobs.values().stream().filter(j -> j.accepted).toList());
        int accepted = open.size();
        double end = Bed.now() + 20;
        List<String> last = new ArrayList<>();
        while (!open.isEmpty() && Bed.now() < end) {
            last.clear();
            open.removeIf(job -> {
                Bed.Answer answer = trainer.read(job, 0, 0);
                if (answer.status != 200) last.add(job.id + " -> " + answer);
                return answer.status == 200;
            });
            if (!open.isEmpty()) Thread.sleep(500);
        }
        last.forEach(l -> bed.note("trainer: at the end %s", l));
        List<String> faults = trainer.jobs.values().stream().flatMap(j -> j.faults.stream().map(f -> j.id + ": " + f)).toList();
        faults.forEach(f -> bed.note("trainer: %s", f));
        Bed.Answer configuration = bed.operator("GET", "/api/config/get", "", 3);
        int ends = bed.cores().stream().mapToInt(m -> m.ownEnds.get()).sum();
        long looping = bed.cores().stream().filter(m -> m.ownEnds.get() >= 3).count();
        boolean lost = !open.isEmpty() || !faults.isEmpty();
        String seen = accepted + " jobs accepted, " + open.size() + " of them can't be read at the end, configuration read: " + configuration
            + ", core processes ended by themselves " + ends + " times, " + looping + " of 3 three times or more, other faults " + faults.size();
        bed.finish(lost || looping >= 2 ? 1 : 0, (looping >= 2 ? "Fault broken" : "Fault held") + (lost ? ", LOST broken: " : ", LOST held: ") + seen);
    }

    private static String configuration() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-wrr6x73\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/pufi791/\",\"routeType\":\"rollout\",\"timeoutMs\":10000,\"targetLatencyMs\":400,\"priority\":1,\"service\":\"huvo11a\",\"maxAttempts\":3,\"maxQueueS\":40.0,\"runTargetMs\":7500,\"singleVersion\":false,\"sessionAffinity\":true,\"resumable\":true}],"
            + "\"services\":[{\"name\":\"huvo11a\",\"healthPath\":\"/health\",\"maxConnections\":170,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":12,\"kvCapacityTokens\":32365,\"kvTokenBytes\":18432,\"linkMbps\":2900000.0,\"moves\":true,\"backups\":true,\"stride\":53,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"daka510000\"}]}}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":33554432,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }
}
