import java.io.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;

/** Case 11: two trainers on six samplers; with TROUBLE, the sampler that holds the lighter trainer's weights is lost. */
public class LostHome extends Rig {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final int SLOTS = 16, EVENTS = 14, LONG_EVENTS = 100, LONG_PAUSE_MS = 118, PAUSE_MS = 20;
    static final double DEADLINE_S = 12, RULE_S = 5, NAMED_S = 6, BEGUN_S = 3;

    /** One run of an item at a sampler, in seconds of the record. */
    static class Run {
        String item, sampler;
        volatile double begin, end = -1;
        volatile boolean finished;
    }

    static final List<Run> runs = new CopyOnWriteArrayList<>();
    static final List<Double> named = new CopyOnWriteArrayList<>();
    /** Items that run for long. */
    static final Set<String> longItems = ConcurrentHashMap.newKeySet();
    static final Map<String, Integer> listed = new ConcurrentHashMap<>();

    static double now() {
        return (System.nanoTime() - t0) / 1e9;
    }

    static void sleepUntil(double moment) throws InterruptedException {
        while (now() < moment) Thread.sleep(5);
    }

    static void sampler(Sampler s, Msg m, InputStream in, OutputStream out) throws Exception {
        readBody(in, m, false);
        String id = m.h.get("zinniahoist-request-id"), model = m.h.get("zinniahoist-model");
        Map<String, String> head = new TreeMap<>(Map.of("Zinniahoist-Request-Id", id));
        boolean loads = s.loading.contains(model);
        if (loads || s.running.incrementAndGet() > SLOTS) {
            if (!loads) s.running.decrementAndGet();
            head.put("Zinniahoist-Not-Run", "1");
            answer(out, 503, head, new byte[0]);
            return;
        }
        Run run = new Run();
        run.item = id;
        run.sampler = s.id;
        run.begin = now();
        runs.add(run);
        try {
            boolean isLong = longItems.contains(id);
            int events = isLong ? LONG_EVENTS : EVENTS;
            int after = Integer.parseInt(m.h.getOrDefault("last-event-id", "0"));
            long version = s.version(model);
            log("run begins item=" + id + " sampler=" + s.id + " version=" + version + " after=" + after);
            out.write(("HTTP/1.1 200 OK\r\nZinniahoist-Request-Id: " + id + "\r\nZinniahoist-Response-Stamp: s." + id
                + "\r\nZinniahoist-Weight-Versions: " + version
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes());
            for (int event = after + 1; event <= events; event++) {
                Thread.sleep(isLong ? LONG_PAUSE_MS : PAUSE_MS);
                long present = s.version(model);
                String text = (present == version ? "" : "zinniahoist-weight-versions: " + present + "\n")
                    + "id: " + event + "\ndata: text " + event + " of " + id + "\n\n";
                version = present;
                out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
            out.write("0\r\n\r\n".getBytes());
            out.flush();
            run.finished = true;
        } finally {
            s.running.decrementAndGet();
            run.end = now();
            log("run ends item=" + id + " sampler=" + s.id + " finished=" + run.finished);
        }
    }

    static byte[] job(String id, String model, int step, int items, int prompt, int output) {
        String body = Base64.getEncoder().encodeToString(new byte[600]);
        StringBuilder text = new StringBuilder("{\"step\":" + step + ",\"model\":\"" + model + "\",\"minVersion\":"
            + Math.max(1, step - 1) + ",\"desiredCount\":" + items / 2 + ",\"requests\":[");
        for (int item = 0; item < items; item++) {
            if (item > 0) text.append(',');
            text.append("{\"id\":\"").append(id).append('i').append(item).append("\",\"path\":\"/r/").append(item)
                .append("\",\"headers\":{\"Zinniahoist-Model\":\"").append(model).append("\",\"Zinniahoist-Token-Count\":\"")
                .append(prompt).append(',').append(output).append("\",\"Zinniahoist-Prompt-Prefix\":\"")
                .append(Integer.toHexString((id + item / 2).hashCode())).append(':').append(prompt).append("\"},\"body\":\"")
                .append(body).append("\",\"tokens\":").append(prompt + output).append(",\"group\":\"").append(id).append('g')
                .append(item / 2).append("\"}");
        }
        return text.append("]}").toString().getBytes();
    }

    static String entryOf(int number) {
        return entry(number % 2);
    }

    /** Submits a step, reads it until all items are listed or its time is up, and ends it. Returns whether all are listed. */
    static boolean step(String model, int step, int items, int prompt, int output) throws Exception {
        String id = model + "s" + step;
        double start = now();
        boolean isAccepted = false;
        for (int attempt = 0; !isAccepted && now() < start + DEADLINE_S; attempt++) {
            try {
                isAccepted = call(entryOf(attempt), clientPort, "POST", "/r/" + id, Map.of("Host", HOST_OF_ROUTES,
                    "Zinniahoist-Request-Id", id, "Zinniahoist-Deadline-Ms", "12000", "Content-Type", "application/json"),
                    job(id, model, step, items, prompt, output), 5000).status() == 202;
            } catch (IOException fault) {
                log("submission failed " + fault);
            }
            if (!isAccepted) Thread.sleep(300);
        }
        log("job " + id + " items=" + items + " accepted=" + isAccepted);
        int position = 0;
        for (int number = 0; position < items && now() < start + DEADLINE_S; number++) {
            try {
                Msg page = call(entryOf(number), clientPort, "GET", "/api/lots/" + id + "?after=" + position,
                    Map.of("Host", HOST_OF_ROUTES), null, 1500);
                String text = page.text();
                if (page.status() == 200) position = Integer.parseInt(field(text, "nextToken"));
            } catch (IOException fault) {
                log("read failed " + fault);
            }
            if (position < items) Thread.sleep(500);
        }
        listed.put(id, position);
        if (position < items) judge(id, items, start);
        call(entryOf(step), clientPort, "DELETE", "/api/lots/" + id, Map.of("Host", HOST_OF_ROUTES), null, 2500);
        log("job " + id + " listed=" + position + " of " + items + " after " + Math.round((now() - start) * 1000) + " ms, ended");
        return position == items;
    }

    static volatile String broken;

    /** Judges a step whose time is up, as the rule is written; the seconds before [end] count. */
    static void judge(String id, int items, double start) {
        double end = now(), from = end - RULE_S;
        List<String> waiting = new ArrayList<>();
        for (int item = 0; item < items; item++) {
            String name = id + "i" + item;
            boolean isFinished = runs.stream().anyMatch(r -> r.item.equals(name) && r.finished);
            boolean wasRunning = runs.stream().anyMatch(r -> r.item.equals(name) && (r.end < 0 || r.end > from));
            if (!isFinished && !wasRunning) waiting.add(name);
        }
        boolean begun = runs.stream().anyMatch(r -> r.item.startsWith(id + "i"));
        boolean isNamed = named.stream().anyMatch(t -> t > from - NAMED_S);
        boolean isBegun = runs.stream().anyMatch(r -> r.begin > from - BEGUN_S);
        long most = 0;
        for (double t = from; t <= end; t += 0.05) {
            double moment = t;
            most = Math.max(most, runs.stream().filter(r -> r.begin <= moment && (r.end < 0 || r.end > moment)).count());
        }
        long places = samplers.stream().filter(s -> !s.server.isClosed()).count() * SLOTS;
        boolean isUnderHalf = most * 2 < places;
        log("step " + id + " ran out of time: at no sampler for 5 s=" + waiting + " others begun=" + begun
            + " version named since 6 s before=" + isNamed + " item began since 3 s before=" + isBegun
            + " most places taken=" + most + " of " + places);
        if (!waiting.isEmpty() && begun && !isNamed && !isBegun && isUnderHalf)
            broken = "LOST: step " + id + " ran out of time with " + waiting.size() + " items at no sampler for 5 s";
    }

    /** Trains for a second and names the next version. */
    static void name(String model, int version) throws Exception {
        Thread.sleep(1000);
        named.add(now());
        byte[] body = ("{\"model\":\"" + model + "\",\"version\":" + version + "}").getBytes();
        Msg answer = operator("POST", "/api/version-put", body, 5000);
        log("version " + model + " " + version + " answer=" + (answer == null ? null : answer.start));
    }

    /** The trainer of the larger model: 38 items a step, which run for long in step 3. */
    static void heavy(double start) {
        try {
            for (int step = 0; step < 4; step++) {
                sleepUntil(start + step * 4.0 + (step == 3 ? 0.4 : 0));
                if (step == 3) for (int item = 0; item < 38; item++) longItems.add("m0s3i" + item);
                step("m0", step, 38, 271, 102);
                name("m0", step + 2);
            }
        } catch (Exception fault) {
            log("trainer m0 failed " + fault);
        }
    }

    /** Loses [lost] for good: its connections are reset, nothing listens, and the list drops it two seconds later. */
    static void lose(Sampler lost) throws Exception {
        log("DISRUPTION sampler " + lost.id + " is lost for good");
        lost.server.close();
        for (var socket : lost.sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        thread(() -> {
            try {
                Thread.sleep(2000);
            } catch (InterruptedException fault) {
                return;
            }
            samplers.remove(lost);
            log("the list drops " + lost.id);
        });
    }

    public static void main(String[] arguments) throws Exception {
        models = List.of("m0", "m1");
        init(arguments[0]);
        for (int i = 0; i < 6; i++) samplers.add(new Sampler("i-lm" + i, "lm", (s, m, in, out, k) -> sampler(s, m, in, out)));
        if (!boot(450, 2)) finish(2, "the system did not start");
        Thread.sleep(4000);
        double start = now() + 1;
        thread(() -> heavy(start));
        // The trainer of the smaller model: 4 items a step.
        int step = 0;
        for (; step < 3; step++) {
            sleepUntil(start + step * 4.0);
            if (!step("m1", step, 4, 271, 60)) finish(2, "a step before the disruption did not end");
            name("m1", step + 2);
        }
        sleepUntil(start + 12);
        for (Sampler s : samplers) log("holds " + s.id + " " + s.versions);
        if (TROUBLE) thread(() -> {
            try {
                while (runs.stream().noneMatch(r -> r.item.startsWith("m1s3i"))) Thread.sleep(2);
                Thread.sleep(100);
                String id = runs.stream().filter(r -> r.item.startsWith("m1s3i")).findFirst().get().sampler;
                lose(samplers.stream().filter(s -> s.id.equals(id)).findFirst().get());
            } catch (Exception fault) {
                log("disruption failed " + fault);
            }
        });
        boolean isWhole = step("m1", 3, 4, 271, 60);
        if (TROUBLE && samplers.size() == 6) finish(2, "no sampler was lost");
        finish(broken == null ? 0 : 1, broken == null ? "held, step listed=" + isWhole : broken);
    }
}
