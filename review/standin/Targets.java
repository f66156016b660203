import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Clients send requests whose paths and queries hold reserved or encoded characters; samplers must get them unchanged. */
final class Targets {
    private static final List<String> TROUBLED = List.of(
        "/safe/notes?text=two%20crates%20of%20flour",
        "/unsafe/notes?text=two%20crates%20of%20flour",
        "/safe/basket/42;quantity=3",
        "/unsafe/basket/42;quantity=3",
        "/safe/files//plan",
        "/unsafe/files//plan",
        "/safe/notes?text=%41%2D1",
        "/unsafe/people/%7Enovak");
    private static final List<String> CALM = List.of(
        "/safe/notes?text=flour",
        "/unsafe/notes?text=flour",
        "/safe/basket/42",
        "/unsafe/basket/42",
        "/safe/files/plan",
        "/unsafe/files/plan",
        "/safe/notes?text=A-1",
        "/unsafe/people/novak");

    private Targets() {}

    static int run(Path folder, boolean isTroubled) throws Exception {
        try (Rig rig = new Rig(folder, 1)) {
            List<Samplers.Run> runs = Samplers.runs();
            List<Http.Server> samplers = new ArrayList<>();
            for (int i = 1; i <= 2; i++) {
                Http.Server sampler = Samplers.plain("i-app-" + i, 20, runs);
                samplers.add(sampler);
                rig.enlist("i-app-" + i, "app", sampler.address(), 6);
            }
            rig.start(Rig.configuration("{\"name\":\"r-unsafe\",\"host\":\"a.example\",\"pathPrefix\":\"/unsafe/\","
                + "\"routeType\":\"unsafe\",\"timeoutMs\":5000,\"targetLatencyMs\":4000,\"priority\":2,"
                + "\"service\":\"app\",\"maxAttempts\":2},"));
            Thread.sleep(4_000);
            int changed = 0;
            int ran = 0;
            List<String> targets = isTroubled ? TROUBLED : CALM;
            for (int i = 0; i < targets.size(); i++) {
                String sent = targets.get(i);
                String id = "request-" + i;
                rig.note("sent " + id + ": POST " + sent + " answered " + call(rig, id, sent));
                for (Samplers.Run run : runs) {
                    if (!run.id().equals(id)) continue;
                    ran++;
                    boolean isSame = run.target().equals(sent) && run.method().equals("POST");
                    if (!isSame) changed++;
                    rig.note("ran  " + id + ": " + run.method() + " " + run.target() + (isSame ? "" : "  <- changed"));
                }
            }
            rig.note("sent " + targets.size() + ", ran " + ran + ", ran with another path or query " + changed);
            rig.note(changed > 0 ? "BROKEN" : "held");
            if (ran == 0) return 2;
            return changed > 0 ? 1 : 0;
        }
    }

    private static String call(Rig rig, String id, String target) {
        try (Http.Connection connection = new Http.Connection(rig.entries.get(0).host, rig.frontPort, 5_000)) {
            return "" + connection.call("POST", target, Http.headers("Host", "a.example", "Zinniahoist-Request-Id", id,
                "Zinniahoist-Deadline-Ms", "4000"), Rig.filled(600)).status();
        } catch (IOException lost) {
            return lost.toString();
        }
    }
}
