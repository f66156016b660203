import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;
import java.util.regex.*;

/** A trainer: submits batch jobs, reads their results, ends them, and at the end reads them again. */
final class Trainer {
    static final class Job {
        final String id;
        final List<String> items = new ArrayList<>();
        volatile boolean accepted, ended;
        volatile double acceptedAt;
        final List<String> listed = Collections.synchronizedList(new ArrayList<>());   // "id state output" by position
        final List<String> faults = Collections.synchronizedList(new ArrayList<>());
        final List<String> submissions = Collections.synchronizedList(new ArrayList<>());
        Job(String id) { this.id = id; }
    }

    final Bed bed;
    final String host, prefix, model;
    final Map<String, Job> jobs = Collections.synchronizedMap(new LinkedHashMap<>());
    private int next;

    Trainer(Bed bed, String host, String prefix, String model) { this.bed = bed; this.host = host; this.prefix = prefix; this.model = model; }

    String entryAddress() { List<Bed.Machine> e = bed.entries(); return e.get(Math.floorMod(next++, e.size())).address; }

    /** Body of a job with [groups] groups of [size] items, each with a body of [bytes] bytes. */
    byte[] body(Job job, int step, long minVersion, int groups, int size, int bytes, Random random) {
        StringBuilder text = new StringBuilder("{\"step\":" + step + ",\"model\":\"" + model + "\",\"minVersion\":" + minVersion + ",\"desiredCount\":" + Math.max(1, groups * 9 / 10) + ",\"requests\":[");
        for (int g = 0; g < groups; g++) for (int i = 0; i < size; i++) {
            byte[] content = new byte[bytes];
            random.nextBytes(content);
            String item = String.format("%s%04x%02x", job.id.substring(0, 8), g, i);
            job.items.add(item);
            if (g + i > 0) text.append(',');
            text.append("{\"id\":\"" + item + "\",\"path\":\"" + prefix + item + "\",\"headers\":{\"Zinniahoist-Model\":\"" + model + "\",\"Zinniahoist-Token-Count\":\"271,30\",\"Zinniahoist-Prompt-Prefix\":\"9c2e41:255," + item + ":16\"},\"body\":\"")
                .append(Base64.getEncoder().encodeToString(content)).append("\",\"tokens\":301,\"group\":\"g" + job.id.substring(0, 6) + g + "\"}");
        }
        return text.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Submits [job] until it is accepted, or for [seconds]; each time at another entry. */
    void submit(Job job, byte[] body, double seconds) throws Exception {
        jobs.put(job.id, job);
        double end = Bed.now() + seconds;
        while (Bed.now() < end && !job.accepted) {
            String address = entryAddress();
            Bed.Answer answer = Bed.call(address, bed.front, "POST", prefix + job.id, host, Map.of("Zinniahoist-Request-Id", job.id, "Content-Type", "application/json", "Zinniahoist-Deadline-Ms", "12000"), body, 12000);
            job.submissions.add(answer.toString());
            bed.note("trainer: submits job %s of %d bytes at %s -> %s", job.id, body.length, address, answer);
            if (answer.status == 202) { job.accepted = true; job.acceptedAt = Bed.now(); return; }
            if (answer.status == 400 || answer.status == 413) return;
            Thread.sleep(500);
        }
    }

    /** Reads one page from position [after]. Records results, and what contradicts an earlier page. */
    Bed.Answer read(Job job, int after, int waitMs) {
        Bed.Answer answer = Bed.call(entryAddress(), bed.front, "GET", "/api/lots/" + job.id + "?after=" + after, host, Map.of("Zinniahoist-Wait-Ms", "" + waitMs, "Zinniahoist-Request-Id", "r" + UUID.randomUUID().toString().replace("-", "")), new byte[0], 4000);
        bed.note("trainer: reads job %s from position %d -> %s, %d bytes", job.id, after, answer, answer.body.length);
        if (answer.status != 200) return answer;
        String text = answer.text();
        if (Bed.number(text, "total") != job.items.size()) job.faults.add("total is " + Bed.number(text, "total") + " of " + job.items.size());
        Matcher m = RESULT.matcher(text);
        int position = after;
        while (m.find()) {
            String result = m.group(1) + " " + m.group(2) + " " + m.group(3);
            synchronized (job.listed) {
                if (position < job.listed.size()) { if (!job.listed.get(position).equals(result)) job.faults.add("position " + position + " holds another result than before"); }
                else job.listed.add(result);
            }
            position++;
        }
        return answer;
    }

    private static final Pattern RESULT = Pattern.compile("\\{\"id\":\"([^\"]*)\",\"state\":\"([^\"]*)\",\"output\":\"([^\"]*)\"");

    Bed.Answer end(Job job) {
        Bed.Answer answer = Bed.call(entryAddress(), bed.front, "DELETE", "/api/lots/" + job.id, host, Map.of("Zinniahoist-Request-Id", "d" + job.id), new byte[0], 4000);
        bed.note("trainer: ends job %s -> %s", job.id, answer);
        if (answer.status == 200) job.ended = true;
        return answer;
    }
}
