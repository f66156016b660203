import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;

/**
 * A trainer submits a batch job each four seconds. With trouble, the bodies of its items are long, but each submission is
 * far below maxBodyBytes. The processes of the core must stay up, and what was accepted must be readable at the end.
 */
final class JobSizes {
    private static final int JOBS = 19;
    private static final int ITEMS = 8;

    private JobSizes() {}

    static int run(Path folder, boolean isTroubled) throws Exception {
        int megabytes = isTroubled ? 10 : 0;
        try (Rig rig = new Rig(folder, 2)) {
            List<Samplers.Run> runs = Samplers.runs();
            List<Http.Server> samplers = new ArrayList<>();
            for (int i = 1; i <= 3; i++) {
                Http.Server sampler = Samplers.model("i-lm-" + i, 14, 10, runs);
                samplers.add(sampler);
                rig.enlist("i-lm-" + i, "lm", sampler.address(), 16);
            }
            rig.start(Rig.configuration(""));
            Thread.sleep(1_500);
            List<String> accepted = new ArrayList<>();
            long next = System.nanoTime();
            for (int job = 0; job < JOBS; job++) {
                pauseUntil(next);
                next += 4_000_000_000L;
                String id = "job" + job;
                int status = submit(rig, id, body(job, megabytes));
                if (status == 202) accepted.add(id);
                rig.note("core processes that ended by themselves so far: " + rig.ownEnds(rig.cores));
            }
            Thread.sleep(3_000);
            int unread = 0;
            long deadline = System.nanoTime() + 18_000_000_000L;
            for (String id : accepted) if (!canRead(rig, id, deadline)) unread++;
            long often = rig.cores.stream().filter(core -> core.ownEnds.get() >= 3).count();
            rig.note("accepted " + accepted.size() + ", not readable at the end " + unread + ", ends by core "
                + rig.cores.stream().map(core -> core.name + "=" + core.ownEnds.get()).toList()
                + ", by entry " + rig.entries.stream().map(entry -> entry.name + "=" + entry.ownEnds.get()).toList()
                + ", runs " + runs.size());
            boolean isBroken = unread > 0 || often >= 2;
            rig.note(isBroken ? "BROKEN" : "held");
            return isBroken ? 1 : 0;
        }
    }

    /** Submits as the pages say: after no answer, a 429, a 503 or another 5xx the same job comes again elsewhere. */
    private static int submit(Rig rig, String id, byte[] body) throws InterruptedException {
        int status = 0;
        for (int attempt = 0; attempt < 2; attempt++) {
            Rig.Machine entry = rig.entries.get((id.hashCode() + attempt & 0x7fffffff) % rig.entries.size());
            try (Http.Connection connection = new Http.Connection(entry.host, rig.frontPort, 4_000)) {
                Map<String, String> headers = Http.headers("Host", "a.example", "Zinniahoist-Request-Id", id,
                    "Zinniahoist-Deadline-Ms", "4000", "Content-Type", "application/json");
                status = connection.call("POST", "/roll/" + id, headers, body).status();
                rig.note("submitted " + id + " with " + body.length + " bytes at " + entry.name + ": " + status);
            } catch (IOException lost) {
                status = 0;
                rig.note("submitted " + id + " with " + body.length + " bytes at " + entry.name + ": " + lost);
            }
            if (status == 202 || status >= 400 && status < 500 && status != 429) return status;
            Thread.sleep(300);
        }
        return status;
    }

    private static boolean canRead(Rig rig, String id, long deadline) throws InterruptedException {
        String last = "no attempt";
        for (int attempt = 0; attempt == 0 || System.nanoTime() < deadline; attempt++) {
            Rig.Machine entry = rig.entries.get(attempt % rig.entries.size());
            try (Http.Connection connection = new Http.Connection(entry.host, rig.frontPort, 3_000)) {
                Http.Message page = connection.call("GET", "/api/lots/" + id + "?after=0",
                    Http.headers("Host", "a.example"), null);
                last = "" + page.status();
                if (page.status() == 200) {
                    rig.note("read " + id + ": 200 " + page.body.length + " bytes");
                    return true;
                }
            } catch (IOException lost) {
                last = lost.toString();
            }
            Thread.sleep(200);
        }
        rig.note("read " + id + ": " + last);
        return false;
    }

    private static byte[] body(int job, int megabytes) {
        int itemBytes = megabytes == 0 ? 600 : (megabytes << 20) / ITEMS * 3 / 4;
        String content = Base64.getEncoder().encodeToString(Rig.filled(itemBytes));
        StringBuilder json = new StringBuilder("{\"step\":" + job + ",\"model\":\"" + Rig.MODEL
            + "\",\"minVersion\":1,\"desiredCount\":1,\"requests\":[");
        for (int item = 0; item < ITEMS; item++) {
            json.append(item > 0 ? "," : "").append("{\"id\":\"j" + job + "i" + item + "\",\"path\":\"/roll/x\","
                + "\"headers\":{\"Zinniahoist-Model\":\"" + Rig.MODEL + "\",\"Zinniahoist-Token-Count\":\"100,40\"},"
                + "\"body\":\"" + content + "\",\"tokens\":140,\"group\":\"g" + job + "\"}");
        }
        return json.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void pauseUntil(long moment) throws InterruptedException {
        long left = moment - System.nanoTime();
        if (left > 0) Thread.sleep(left / 1_000_000);
    }
}
