import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The system starts for the first time, and one core is killed as it creates its data folder; the platform starts it again
 * half a second later. Much later another core loses its disk. What was accepted must stay readable.
 */
final class FirstStart {
    private static final int ITEMS = 8;

    private FirstStart() {}

    static int run(Path folder, boolean isTroubled) throws Exception {
        boolean isKilled = isTroubled && !"wipe".equals(System.getenv("TROUBLE"));
        try (Rig rig = new Rig(folder, 2)) {
            List<Samplers.Run> runs = Samplers.runs();
            List<Http.Server> samplers = new ArrayList<>();
            for (int i = 1; i <= 2; i++) {
                Http.Server sampler = Samplers.model("i-lm-" + i, 14, 10, runs);
                samplers.add(sampler);
                rig.enlist("i-lm-" + i, "lm", sampler.address(), 16);
            }
            Rig.Machine killed = rig.cores.get(0);
            for (Rig.Machine core : rig.cores) core.start();
            if (isKilled && !killAtFirstFile(rig, killed)) return 2;
            rig.finishStart(Rig.configuration(""));
            Thread.sleep(6_000);
            if (!submit(rig)) return 2;
            Thread.sleep(2_000);
            if (!canRead(rig, 5_000)) return 2;
            rig.note(killed.name + " has ended by itself " + killed.ownEnds + " times");
            if (isTroubled) rig.loseDisk(rig.cores.get(1), 2_000);
            Thread.sleep(22_000);
            boolean isReadable = canRead(rig, 30_000);
            int configuration = rig.operator("GET", "/api/config/get", null);
            rig.note("read of the configuration: " + configuration + "; ends by core "
                + rig.cores.stream().map(core -> core.name + "=" + core.ownEnds.get()).toList());
            rig.note(isReadable ? "held" : "BROKEN");
            return isReadable ? 0 : 1;
        }
    }

    /** Kills the process of [core] once its first segment exists; returns false if that was too late. */
    private static boolean killAtFirstFile(Rig rig, Rig.Machine core) throws Exception {
        Path data = rig.folder.resolve(core.name).resolve("service");
        long deadline = System.nanoTime() + 20_000_000_000L;
        while (!has(data, "*.segment")) {
            if (System.nanoTime() > deadline) return false;
            Thread.onSpinWait();
        }
        core.process.destroyForcibly().waitFor();
        boolean isEarly = !has(data, "identity");
        rig.note(core.name + " killed as it created its data folder" + (isEarly ? "" : ", but too late"));
        return isEarly;
    }

    private static boolean has(Path folder, String pattern) {
        if (!Files.isDirectory(folder)) return false;
        try (DirectoryStream<Path> found = Files.newDirectoryStream(folder, pattern)) {
            return found.iterator().hasNext();
        } catch (IOException changed) {
            return false;
        }
    }

    private static boolean submit(Rig rig) throws InterruptedException {
        StringBuilder json = new StringBuilder("{\"step\":0,\"model\":\"" + Rig.MODEL
            + "\",\"minVersion\":1,\"desiredCount\":1,\"requests\":[");
        for (int item = 0; item < ITEMS; item++) {
            json.append(item > 0 ? "," : "").append("{\"id\":\"i" + item + "\",\"path\":\"/roll/x\",\"headers\":"
                + "{\"Zinniahoist-Model\":\"" + Rig.MODEL + "\",\"Zinniahoist-Token-Count\":\"100,40\"},"
                + "\"body\":\"aGk=\",\"tokens\":140,\"group\":\"g0\"}");
        }
        byte[] body = json.append("]}").toString().getBytes();
        for (int attempt = 0; attempt < 10; attempt++) {
            Rig.Machine entry = rig.entries.get(attempt % 2);
            try (Http.Connection connection = new Http.Connection(entry.host, rig.frontPort, 4_000)) {
                int status = connection.call("POST", "/roll/job", Http.headers("Host", "a.example",
                    "Zinniahoist-Request-Id", "job", "Zinniahoist-Deadline-Ms", "4000"), body).status();
                rig.note("submitted the batch job: " + status);
                if (status == 202) return true;
            } catch (IOException lost) {
                rig.note("submitted the batch job: " + lost);
            }
            Thread.sleep(300);
        }
        return false;
    }

    /** Reads the batch job at one entry after the other for [milliseconds], until one has the results of all items. */
    private static boolean canRead(Rig rig, int milliseconds) throws InterruptedException {
        long deadline = System.nanoTime() + milliseconds * 1_000_000L;
        String last = "";
        for (int attempt = 0; System.nanoTime() < deadline; attempt++) {
            Rig.Machine entry = rig.entries.get(attempt % 2);
            try (Http.Connection connection = new Http.Connection(entry.host, rig.frontPort, 4_000)) {
                Http.Message page = connection.call("GET", "/api/lots/job?after=0", Http.headers("Host", "a.example"), null);
                last = page.status() + " " + page.body.length + " bytes";
                if (page.status() == 200 && new String(page.body).contains("\"nextToken\":" + ITEMS)) {
                    rig.note("read the batch job: " + last);
                    return true;
                }
            } catch (IOException lost) {
                last = lost.toString();
            }
            Thread.sleep(200);
        }
        rig.note("read the batch job for " + milliseconds + " ms, last: " + last);
        return false;
    }
}
