import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 12: an item that samplers answer with 422, in a group that comes again; with TROUBLE, jobs are cancelled early. */
public class ImpossibleItem extends Rig {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final int STEPS = 6, GROUPS = 4, SIZE = 4, EVENTS = 14, PAUSE_MS = 40;
    /** Half of the route's objective, the default of the pages for clients that leave. */
    static final int CANCELLED_AFTER_MS = 200;
    static final long DEADLINE_MS = 12_000;
    static final String IMPOSSIBLE = "g0i0";

    /** Answers of 422 to the item, and runs of it that reached a sampler after the third. */
    static final AtomicInteger answers = new AtomicInteger(), later = new AtomicInteger();

    static void sampler(Sampler s, Msg m, InputStream in, OutputStream out) throws Exception {
        readBody(in, m, false);
        String id = m.h.get("zinniahoist-request-id"), model = m.h.get("zinniahoist-model");
        Map<String, String> head = new TreeMap<>(Map.of("Zinniahoist-Request-Id", id));
        if (s.loading.contains(model)) {
            head.put("Zinniahoist-Not-Run", "1");
            answer(out, 503, head, new byte[0]);
            return;
        }
        log("run item=" + id + " sampler=" + s.id + " after=" + m.h.get("last-event-id"));
        if (id.equals(IMPOSSIBLE)) {
            if (answers.get() >= 3) later.incrementAndGet();
            Thread.sleep(10);
            answer(out, 422, head, new byte[0]);
            log("answer 422 item=" + id + " number=" + answers.incrementAndGet());
            return;
        }
        int after = Integer.parseInt(m.h.getOrDefault("last-event-id", "0"));
        out.write(("HTTP/1.1 200 OK\r\nZinniahoist-Request-Id: " + id + "\r\nZinniahoist-Response-Stamp: s." + id
            + "\r\nZinniahoist-Weight-Versions: " + s.version(model)
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes());
        long version = s.version(model);
        for (int event = after + 1; event <= EVENTS; event++) {
            Thread.sleep(PAUSE_MS);
            long present = s.version(model);
            String text = (present == version ? "" : "zinniahoist-weight-versions: " + present + "\n")
                + "id: " + event + "\ndata: text " + event + " of " + id + "\n\n";
            version = present;
            out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes());
        out.flush();
    }

    /** A step of [groups], each named by its number; a group that comes again has the same items. */
    static byte[] job(int step, List<Integer> groups) {
        String body = Base64.getEncoder().encodeToString(new byte[600]);
        List<String> items = new ArrayList<>();
        for (int group : groups)
            for (int item = 0; item < SIZE; item++)
                items.add("{\"id\":\"g" + group + "i" + item + "\",\"path\":\"/r/" + group + "/" + item
                    + "\",\"headers\":{\"Zinniahoist-Model\":\"m0\",\"Zinniahoist-Token-Count\":\"271,60\","
                    + "\"Zinniahoist-Prompt-Prefix\":\"" + Integer.toHexString(4096 + group) + ":271\"},\"body\":\"" + body
                    + "\",\"tokens\":331,\"group\":\"g" + group + "\"}");
        return ("{\"step\":" + step + ",\"model\":\"m0\",\"minVersion\":" + Math.max(1, step - 1) + ",\"desiredCount\":"
            + GROUPS + ",\"requests\":[" + String.join(",", items) + "]}").getBytes();
    }

    static boolean submit(String id, byte[] body) throws InterruptedException {
        for (int attempt = 0; attempt < 20; attempt++) {
            try {
                Msg answer = call(entry(attempt % 2), clientPort, "POST", "/r/" + id, Map.of("Host", HOST_OF_ROUTES,
                    "Zinniahoist-Request-Id", id, "Zinniahoist-Deadline-Ms", "12000", "Content-Type", "application/json"),
                    body, 5000);
                log("job " + id + " answer=" + answer.start);
                if (answer.status() == 202) return true;
            } catch (IOException fault) {
                log("job " + id + " failed " + fault);
            }
            Thread.sleep(300);
        }
        return false;
    }

    /** Reads a job until all its items are listed or its time is up. Returns the number of results. */
    static int readAll(String id, int total) throws InterruptedException {
        int position = 0;
        long end = System.nanoTime() + DEADLINE_MS * 1_000_000;
        for (int number = 0; position < total && System.nanoTime() < end; number++) {
            try {
                Msg page = call(entry(number % 2), clientPort, "GET", "/api/lots/" + id + "?after=" + position,
                    Map.of("Host", HOST_OF_ROUTES), null, 1500);
                if (page.status() == 200) position = Integer.parseInt(field(page.text(), "nextToken"));
            } catch (IOException fault) {
                log("read failed " + fault);
            }
            if (position < total) Thread.sleep(500);
        }
        return position;
    }

    public static void main(String[] arguments) throws Exception {
        models = List.of("m0");
        init(arguments[0]);
        for (int i = 0; i < 6; i++) samplers.add(new Sampler("i-lm" + i, "lm", (s, m, in, out, k) -> sampler(s, m, in, out)));
        if (!boot(450, 2)) finish(2, "the system did not start");
        Thread.sleep(4000);
        boolean comesAgain = false;
        int nextGroup = 1;
        for (int step = 0; step < STEPS; step++) {
            // A group that was not complete comes first and is at most half of desiredCount; the others are new.
            List<Integer> groups = new ArrayList<>();
            if (step == 0 || comesAgain) groups.add(0);
            while (groups.size() < GROUPS) groups.add(nextGroup++);
            String id = "step" + step;
            if (!submit(id, job(step, groups))) finish(2, "a job was not accepted");
            boolean isCancelled = TROUBLE && step < STEPS - 1;
            if (isCancelled) {
                Thread.sleep(CANCELLED_AFTER_MS);
                log("DISRUPTION the trainer cancels " + id + " " + CANCELLED_AFTER_MS + " ms after its acknowledgement");
            }
            int listed = isCancelled ? 0 : readAll(id, GROUPS * SIZE);
            Msg end = call(entry(0), clientPort, "DELETE", "/api/lots/" + id, Map.of("Host", HOST_OF_ROUTES), null, 2500);
            log("job " + id + " groups=" + groups + " listed=" + listed + " end=" + end.start);
            comesAgain = isCancelled;
            Thread.sleep(1000);
            byte[] version = ("{\"model\":\"m0\",\"version\":" + (step + 2) + "}").getBytes();
            Msg named = operator("POST", "/api/version-put", version, 5000);
            log("version " + (step + 2) + " answer=" + (named == null ? null : named.start));
            Thread.sleep(2000);
        }
        log("answers of 422 to " + IMPOSSIBLE + ": " + answers + ", runs after the third: " + later);
        if (answers.get() == 0) finish(2, "the item never ran");
        finish(later.get() == 0 ? 0 : 1, later.get() == 0 ? "held, answers of 422: " + answers
            : "BUDGET: " + IMPOSSIBLE + " reached a sampler " + later + " times after three answers of 422");
    }
}
