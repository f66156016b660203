import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;

/** Case 13: a request crashes samplers that start again under their id; with TROUBLE, all processes are killed three times. */
public class SameIdentity extends Rig {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final double CONTACT_S = 3;
    static final int BACK_AFTER_MS = 3000, AGAIN_AFTER_MS = 4500, ROUNDS = 4, ATTEMPTS = 3;

    record Crash(double at, String sampler, String attempt) { }

    /** From a kill to 4.5 s after all entries are ready again, when all machines are in touch. */
    static final List<double[]> unstable = new CopyOnWriteArrayList<>();
    static final List<Crash> crashes = new CopyOnWriteArrayList<>();

    static double now() {
        return (System.nanoTime() - t0) / 1e9;
    }

    static void serve(Sampler s, Msg m, InputStream in, OutputStream out, Socket socket) throws Exception {
        byte[] body = readBody(in, m, false);
        String id = m.h.get("zinniahoist-request-id");
        if (!m.path().endsWith("/poison")) {
            answer(out, 200, Map.of("Zinniahoist-Request-Id", id, "Zinniahoist-Response-Stamp", "s." + id), body);
            return;
        }
        crashes.add(new Crash(now(), s.id, id));
        log("sampler " + s.id + " born " + s.born + " begins " + id + " and crashes");
        s.server.close();
        for (Socket open : s.sockets) {
            open.setSoLinger(true, 0);
            open.close();
        }
        thread(() -> restart(s));
    }

    /** The crashed sampler starts again at its address and under its id. */
    static void restart(Sampler crashed) {
        try {
            Thread.sleep(BACK_AFTER_MS);
            Sampler next = new Sampler(crashed.id, crashed.service, SameIdentity::serve, crashed.server.getLocalPort());
            samplers.set(samplers.indexOf(crashed), next);
            log("sampler " + next.id + " is back");
        } catch (InterruptedException | IOException fault) {
            log("sampler " + crashed.id + " is not back: " + fault);
        }
    }

    static void attempt(int number) throws InterruptedException {
        String id = "9c41d07be2a3" + String.format("%04x", number), outcome;
        try {
            outcome = call(entry(number % 2), clientPort, "POST", "/s/poison", Map.of("Host", HOST_OF_ROUTES,
                "Zinniahoist-Request-Id", id, "Zinniahoist-Deadline-Ms", "2000"), "the same body".getBytes(), 3000).start;
        } catch (IOException fault) {
            outcome = fault.toString();
        }
        log("client " + id + " at " + entry(number % 2) + " answer=" + outcome);
        Thread.sleep(AGAIN_AFTER_MS);
    }

    public static void main(String[] arguments) throws Exception {
        models = List.of("m0");
        init(arguments[0]);
        for (int i = 0; i < 3; i++) samplers.add(new Sampler("i-app" + i, "app", SameIdentity::serve));
        if (!boot(450, 2)) finish(2, "the system did not start");
        Thread.sleep(4000);
        for (int round = 0; round < ROUNDS; round++) {
            if (round > 0) disturb();
            for (int number = 0; number < ATTEMPTS; number++) attempt(round * ATTEMPTS + number);
        }
        if (crashes.size() < 3) finish(2, "the request crashed only " + crashes.size() + " samplers");
        double bound = crashes.get(2).at() + CONTACT_S;
        Set<String> retries = new TreeSet<>();
        for (Crash crash : crashes)
            if (crash.at() > bound && unstable.stream().noneMatch(u -> crash.at() >= u[0] && crash.at() < u[1]))
                retries.add(crash.attempt());
        log(crashes.size() + " crashes, retries later than 3 s after the third by machines in touch: " + retries);
        finish(retries.size() > 3 ? 1 : 0, retries.size() > 3 ? "BUDGET: " + retries.size() + " retries reached samplers"
            : "held, late retries: " + retries.size() + ", crashes: " + crashes.size());
    }

    /** Kills all processes and starts them again; without the disruption only the time passes. */
    static void disturb() throws Exception {
        double from = now();
        if (TROUBLE) {
            log("DISRUPTION all processes are killed");
            for (Proc program : programs.values()) program.process.destroyForcibly();
            for (Proc program : programs.values()) program.process.waitFor();
            Thread.sleep(1500);
            for (Proc program : programs.values()) program.start();
            if (!awaitReadyAll()) finish(2, "the system did not come back");
        }
        Thread.sleep(4500);
        unstable.add(new double[] {from, now()});
    }

    static boolean awaitReadyAll() throws InterruptedException {
        return awaitReady(entry(0), 15_000) && awaitReady(entry(1), 15_000);
    }
}
