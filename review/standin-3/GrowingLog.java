import java.io.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Case 11: four trainers at the rates of a site file; with TROUBLE, a burst of their traffic for some seconds. */
public class GrowingLog extends Rig {
    /** Groups and sizes of the four trainers of the site file; each submits a batch job each 4 s. */
    static final int[][] TRAINERS = {{22, 8}, {24, 8}, {26, 8}, {9, 16}};
    static final int TRAFFIC_S = 78, BURST_AT_S = 30, BURST_S = 14, BURST_X = 5, FINISH_S = 10, EVENTS = 14, BYTES = 280;
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final String[] WORDS = ("the of and to in a is that for it as was with be by on not he his but at are this have "
        + "from or had an they which one you were all her she there would their we him been has when who will no more if "
        + "out so up said what its about than into them can only other time new some could these two may first then do "
        + "any like my now over such our man me even most made after also did many off before must well back through "
        + "years much where your way down should because long each just state people those too little good world make "
        + "very year still see own work men day get here old between both life being under three never know same last")
        .split(" ");
    /** Accepted jobs with their number of items. */
    static final Map<String, Integer> accepted = new ConcurrentHashMap<>();
    static final AtomicLong runs = new AtomicLong();
    static volatile boolean restarting = true;

    static String text(Random random, int length) {
        StringBuilder text = new StringBuilder();
        while (text.length() < length) {
            text.append(WORDS[random.nextInt(WORDS.length)]).append(' ');
            if (random.nextInt(8) == 0) text.append(random.nextInt(1000)).append(' ');
        }
        return text.substring(0, length);
    }

    static void sampler(Sampler sampler, Msg m, InputStream in, OutputStream out) throws Exception {
        readBody(in, m, false);
        String id = m.h.get("zinniahoist-request-id");
        Map<String, String> head = new TreeMap<>();
        head.put("Zinniahoist-Request-Id", id);
        String model = m.h.get("zinniahoist-model");
        if (sampler.loading.contains(model) || sampler.running.incrementAndGet() > sampler.slots) {
            if (!sampler.loading.contains(model)) sampler.running.decrementAndGet();
            head.put("Zinniahoist-Not-Run", "1");
            answer(out, 503, head, new byte[0]);
            return;
        }
        try {
            runs.incrementAndGet();
            int after = Integer.parseInt(m.h.getOrDefault("last-event-id", "0"));
            Random random = new Random(id.hashCode());
            StringBuilder body = new StringBuilder();
            for (int event = 1; event <= EVENTS; event++) {
                String data = text(random, BYTES);
                if (event > after) body.append("id: ").append(event).append("\ndata: ").append(data).append("\n\n");
            }
            head.put("Zinniahoist-Response-Stamp", "stamp." + id);
            head.put("Zinniahoist-Weight-Versions", "" + sampler.version(model));
            head.put("Content-Type", "text/event-stream");
            Thread.sleep(60);
            answer(out, 200, head, body.toString().getBytes());
        } finally {
            sampler.running.decrementAndGet();
        }
    }

    static byte[] job(String id, int trainer, int step, int groups, int size) {
        byte[] content = new byte[600];
        new Random(id.hashCode()).nextBytes(content);
        String body = Base64.getEncoder().encodeToString(content);
        StringBuilder text = new StringBuilder("{\"step\":" + step + ",\"model\":\"m" + trainer + "\",\"minVersion\":"
            + Math.max(1, step - 1) + ",\"desiredCount\":" + Math.round(groups * 0.9) + ",\"requests\":[");
        for (int item = 0; item < groups * size; item++) {
            String group = id + "g" + item / size;
            if (item > 0) text.append(',');
            text.append("{\"id\":\"").append(id).append('i').append(item).append("\",\"path\":\"/r/").append(trainer)
                .append('/').append(item).append("\",\"headers\":{\"Zinniahoist-Model\":\"m").append(trainer)
                .append("\",\"Zinniahoist-Token-Count\":\"276,102\",\"Zinniahoist-Prompt-Prefix\":\"")
                .append(Integer.toHexString(group.hashCode())).append(":260,").append(Integer.toHexString(item + 65536))
                .append(":16\"},\"body\":\"").append(body).append("\",\"tokens\":378,\"group\":\"").append(group).append("\"}");
        }
        return text.append("]}").toString().getBytes();
    }

    static String entryOf(int number) {
        return entry(number % 2);
    }

    /** Submits a job as a client does: the same job again after a refusal or no response. */
    static boolean submit(String id, byte[] body, int size, long until) throws InterruptedException {
        for (int attempt = 0; System.nanoTime() < until; attempt++) {
            String outcome;
            try {
                outcome = call(entryOf(attempt), clientPort, "POST", "/r/" + id,
                    Map.of("Host", HOST_OF_ROUTES, "Zinniahoist-Request-Id", id, "Zinniahoist-Deadline-Ms", "12000",
                        "Content-Type", "application/json"), body, 12000).start;
            } catch (IOException fault) {
                outcome = fault.toString();
            }
            log("job " + id + " items=" + size + " attempt=" + attempt + " answer=" + outcome);
            if (outcome.contains(" 202 ")) {
                accepted.put(id, size);
                return true;
            }
            Thread.sleep(500);
        }
        return false;
    }

    /** Returns the next position, or -1 if there is no page. */
    static int read(String id, int after, int waitMs, int number) {
        try {
            Msg m = call(entryOf(number), clientPort, "GET", "/api/lots/" + id + "?after=" + after,
                Map.of("Host", HOST_OF_ROUTES, "Zinniahoist-Wait-Ms", "" + waitMs), null, waitMs + 1500);
            if (m.status() != 200) return -1;
            String page = m.text();
            return Integer.parseInt(page.substring(page.indexOf("\"nextToken\":") + 12).split("[,}]")[0]);
        } catch (IOException fault) {
            return -1;
        }
    }

    /** One step: submits a job, reads until 90% of its items are listed or its time is up, and ends it. */
    static void step(String id, int trainer, int step, int groups, int size) throws Exception {
        long start = System.nanoTime();
        long until = start + 12_000_000_000L;
        if (!submit(id, job(id, trainer, step, groups, size), groups * size, until)) return;
        int wanted = (int) Math.ceil(groups * size * 0.9);
        int position = 0;
        for (int number = 0; position < wanted && System.nanoTime() < until; number++) {
            position = Math.max(position, read(id, position, 0, number));
            if (position < wanted) Thread.sleep(500);
        }
        String end;
        try {
            end = call(entryOf(step), clientPort, "DELETE", "/api/lots/" + id, Map.of("Host", HOST_OF_ROUTES), null, 2500).start;
        } catch (IOException fault) {
            end = fault.toString();
        }
        log("job " + id + " read=" + position + " ms=" + (System.nanoTime() - start) / 1_000_000 + " end=" + end);
    }

    static void trainer(int trainer, String prefix, long start, long end, boolean names) {
        try {
            int groups = TRAINERS[trainer][0], size = TRAINERS[trainer][1];
            for (int step = 0; start + step * 4_000_000_000L < end; step++) {
                long due = start + step * 4_000_000_000L;
                while (System.nanoTime() < due) Thread.sleep(5);
                int number = step;
                Thread run = new Thread(() -> {
                    try {
                        step(prefix + trainer + "s" + number, trainer, names ? number : 1, groups, size);
                        if (names) {
                            byte[] body = ("{\"model\":\"m" + trainer + "\",\"version\":" + (number + 2) + "}").getBytes();
                            Msg named = operator("POST", "/api/version-put", body, 5000);
                            log("version m" + trainer + " " + (number + 2) + " answer=" + (named == null ? null : named.start));
                        }
                    } catch (Exception fault) {
                        log("step failed " + fault);
                    }
                });
                run.setDaemon(true);
                run.start();
                if (names) run.join(12_000);
            }
        } catch (InterruptedException fault) {
            log("trainer interrupted");
        }
    }

    /** Starts a core again a second after it has ended by itself, as the platform does. */
    static void supervise(Map<String, Integer> ends) {
        while (restarting) {
            try {
                for (Proc p : programs.values()) {
                    if (p.process.isAlive()) continue;
                    int count = ends.merge(p.name, 1, Integer::sum);
                    log("ENDED BY ITSELF " + p.name + " code=" + p.process.exitValue() + " count=" + count + " last=\"" + p.lastLine() + "\"");
                    Thread.sleep(1000);
                    p.start();
                }
                Thread.sleep(100);
            } catch (Exception fault) {
                log("supervisor " + fault);
            }
        }
    }

    public static void main(String[] arguments) throws Exception {
        init(arguments[0]);
        for (int i = 0; i < 12; i++) {
            Sampler sampler = new Sampler("i-lm" + i, "lm", (s, m, in, out, k) -> sampler(s, m, in, out));
            sampler.slots = 8;
            samplers.add(sampler);
        }
        if (!boot(300, 2)) finish(2, "the system did not start");
        Map<String, Integer> ends = new ConcurrentHashMap<>();
        Thread supervisor = new Thread(() -> supervise(ends));
        supervisor.setDaemon(true);
        supervisor.start();
        long start = System.nanoTime(), end = start + TRAFFIC_S * 1_000_000_000L;
        for (int t = 0; t < TRAINERS.length; t++) {
            int trainer = t;
            thread(() -> trainer(trainer, "j", start, end, true));
            if (!TROUBLE) continue;
            long burst = start + BURST_AT_S * 1_000_000_000L;
            for (int x = 1; x < BURST_X; x++) {
                String prefix = "b" + x;
                thread(() -> trainer(trainer, prefix, burst, burst + BURST_S * 1_000_000_000L, false));
            }
        }
        if (TROUBLE) log("burst x=" + BURST_X + " from " + BURST_AT_S + " s for " + BURST_S + " s after the start of traffic");
        while (System.nanoTime() < end) Thread.sleep(100);
        log("traffic ended: accepted jobs=" + accepted.size() + " runs=" + runs);
        Thread.sleep(FINISH_S * 1000L);
        // The end of the day: each accepted job is read from the start, again after each failure, for finishS more.
        Set<String> unread = new TreeSet<>(accepted.keySet());
        long last = System.nanoTime() + FINISH_S * 1_000_000_000L;
        for (int number = 0; !unread.isEmpty() && System.nanoTime() < last; number++) {
            int round = number;
            unread.removeIf(id -> System.nanoTime() < last && read(id, 0, 0, round) >= 0);
            Thread.sleep(200);
        }
        restarting = false;
        log("accepted=" + accepted.size() + " unreadable=" + unread.size() + " ended by themselves=" + ends);
        if (accepted.isEmpty()) finish(2, "no job was accepted");
        finish(unread.isEmpty() ? 0 : 1, unread.isEmpty() ? "held" : "LOST: " + unread.size() + " accepted batch jobs can't be read");
    }
}
