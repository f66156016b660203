import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients hold requests at an entry on kept connections. With trouble, another client sends a request with a long body,
 * which the limits allow, and repeats it elsewhere after a failure. Without, the same client sends short bodies.
 */
final class BodySizes {
    private static final int CLIENTS = 8;
    private static final int LONG_BODY_BYTES = 31 << 20;
    private static final int ROUNDS = 3;

    private BodySizes() {}

    static int run(Path folder, boolean isTroubled) throws Exception {
        try (Rig rig = new Rig(folder, 2)) {
            List<Samplers.Run> runs = Samplers.runs();
            List<Http.Server> samplers = new ArrayList<>();
            for (int i = 1; i <= 3; i++) {
                Http.Server sampler = Samplers.plain("i-app-" + i, 1_200, runs);
                samplers.add(sampler);
                rig.enlist("i-app-" + i, "app", sampler.address(), 6);
            }
            rig.start(Rig.configuration(""));
            Thread.sleep(4_500);
            AtomicInteger[] lost = {new AtomicInteger(), new AtomicInteger()};
            long end = System.nanoTime() + 40_000_000_000L;
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS * 2; i++) {
                int client = i;
                clients.add(Http.daemon(() -> work(rig, client, runs, lost[client % 2], end)));
            }
            int size = isTroubled ? LONG_BODY_BYTES : 600;
            for (int round = 0; round < ROUNDS; round++) {
                Thread.sleep(5_000);
                for (int attempt = 0; attempt < 2; attempt++) {
                    if (send(rig, rig.entries.get(attempt), "long-" + round + "-" + attempt, size)) break;
                    Thread.sleep(100);
                }
                Thread.sleep(4_000);
            }
            for (Thread client : clients) client.join();
            rig.note("kept connections closed without an answer after the request was passed on: "
                + rig.entries.get(0).name + "=" + lost[0] + " " + rig.entries.get(1).name + "=" + lost[1]
                + "; entries that ended by themselves: " + rig.entries.get(0).ownEnds + ", " + rig.entries.get(1).ownEnds
                + "; runs " + runs.size());
            boolean isBroken = lost[0].get() > 3 || lost[1].get() > 3;
            rig.note(isBroken ? "BROKEN" : "held");
            return isBroken ? 1 : 0;
        }
    }

    /** Sends requests on one kept connection, one after the other; after a failure on a new connection. */
    private static void work(Rig rig, int client, List<Samplers.Run> runs, AtomicInteger lost, long end) {
        Rig.Machine entry = rig.entries.get(client % 2);
        int number = 0;
        while (System.nanoTime() < end) {
            int served = 0;
            String id = "";
            try (Http.Connection connection = new Http.Connection(entry.host, rig.frontPort, 6_000)) {
                while (System.nanoTime() < end) {
                    id = "c" + client + "-" + number++;
                    int status = connection.call("POST", "/safe/order", Http.headers("Host", "a.example",
                        "Zinniahoist-Request-Id", id, "Zinniahoist-Deadline-Ms", "5000"), Rig.filled(600)).status();
                    if (status == 200) served++;
                }
            } catch (IOException broken) {
                String failed = id;
                boolean hasRun = runs.stream().anyMatch(run -> failed.equals(run.id()));
                if (served > 0 && hasRun) {
                    lost.incrementAndGet();
                    rig.note(entry.name + " closed a kept connection without an answer to " + id + ", which ran: " + broken);
                }
                pause(300);
            }
        }
    }

    private static boolean send(Rig rig, Rig.Machine entry, String id, int size) {
        try (Http.Connection connection = new Http.Connection(entry.host, rig.frontPort, 6_000)) {
            int status = connection.call("POST", "/safe/order", Http.headers("Host", "a.example",
                "Zinniahoist-Request-Id", id, "Zinniahoist-Deadline-Ms", "5000"), Rig.filled(size)).status();
            rig.note("sent " + id + " with " + size + " bytes at " + entry.name + ": " + status);
            return status < 500;
        } catch (IOException broken) {
            rig.note("sent " + id + " with " + size + " bytes at " + entry.name + ": " + broken);
            return false;
        }
    }

    private static void pause(int milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
