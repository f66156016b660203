import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Clients send requests whose headers are long, but shorter than maxHeaderBytes; the entry must not refuse them. */
final class HeaderSizes {
    private static final int REQUESTS = 40;

    private HeaderSizes() {}

    static int run(Path folder, boolean isTroubled) throws Exception {
        try (Rig rig = new Rig(folder, 1)) {
            List<Samplers.Run> runs = Samplers.runs();
            List<Http.Server> samplers = new ArrayList<>();
            for (int i = 1; i <= 2; i++) {
                Http.Server sampler = Samplers.plain("i-app-" + i, 20, runs);
                samplers.add(sampler);
                rig.enlist("i-app-" + i, "app", sampler.address(), 6);
            }
            rig.start(Rig.configuration(""));
            Thread.sleep(4_500);
            int parts = isTroubled ? 1_200 : 4;
            int denied = 0;
            for (int i = 0; i < REQUESTS; i++) {
                String id = "request-" + i;
                int status = call(rig, id, parts);
                if (status >= 300 && status < 500 && status != 408 && status != 421 && status != 429) denied++;
            }
            rig.note("sent " + REQUESTS + ", ran " + runs.size() + ", ended with a 3xx or 4xx of the entry " + denied);
            boolean isBroken = denied > 5 + REQUESTS / 500;
            rig.note(isBroken ? "BROKEN" : "held");
            return isBroken ? 1 : 0;
        }
    }

    private static int call(Rig rig, String id, int parts) {
        StringBuilder prefix = new StringBuilder();
        for (int part = 0; part < parts; part++) {
            prefix.append(part > 0 ? "," : "").append(String.format("%06x:%d", 0x9c2e41 + part, 300));
        }
        Map<String, String> headers = Http.headers("Host", "a.example", "Zinniahoist-Request-Id", id,
            "Zinniahoist-Deadline-Ms", "4000", "Zinniahoist-Model", Rig.MODEL, "Zinniahoist-Token-Count", "540,400",
            "Zinniahoist-Prompt-Prefix", prefix.toString());
        int bytes = headers.entrySet().stream().mapToInt(h -> h.getKey().length() + h.getValue().length() + 4).sum();
        try (Http.Connection connection = new Http.Connection(rig.entries.get(0).host, rig.frontPort, 5_000)) {
            int status = connection.call("POST", "/safe/order", headers, Rig.filled(600)).status();
            rig.note("sent " + id + " with " + bytes + " bytes of headers, answered " + status);
            return status;
        } catch (IOException lost) {
            rig.note("sent " + id + " with " + bytes + " bytes of headers, " + lost);
            return 0;
        }
    }
}
