import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Runs the project's programs as the deploy file says, before stand-ins of the platform and of the samplers: three cores
 * on 127.0.0.11 to 13 and some entries on 127.0.0.21 and up. A process that ends is started again, as the platform does.
 */
final class Rig implements AutoCloseable {
    static final String MODEL = "m0";
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([^}]*)}}");

    private static final Set<Integer> CHOSEN = new HashSet<>();
    private static final List<String> HOSTS =
        List.of("127.0.0.11", "127.0.0.12", "127.0.0.13", "127.0.0.21", "127.0.0.22");

    /** A program of the deploy file on one stand-in machine. */
    final class Machine {
        final String name;
        final String role;
        final String host;
        final int memoryMb;
        final AtomicInteger ownEnds = new AtomicInteger();
        volatile boolean wanted = true;
        volatile Process process;
        private boolean isFirst = true;

        Machine(String name, String role, String host, int memoryMb) {
            this.name = name;
            this.role = role;
            this.host = host;
            this.memoryMb = memoryMb;
        }

        void start() throws IOException {
            Path settings = folder.resolve(name + ".ini");
            Files.writeString(settings, render(Files.readString(Path.of("deploy/process.ini")), this, isFirst));
            isFirst = false;
            String[] command = render(commands.get(role), this, false).split(" +");
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            builder.environment().put("ZINNIAHOIST_SETTINGS", settings.toString());
            process = builder.start();
            Process started = process;
            Http.daemon(() -> restartAfter(started));
        }

        private void restartAfter(Process started) {
            try {
                int code = started.waitFor();
                if (!wanted || closing) return;
                ownEnds.incrementAndGet();
                note("process " + name + " ended by itself with code " + code);
                Thread.sleep(500);
                if (wanted && !closing) start();
            } catch (InterruptedException | IOException stopped) {
                note("process " + name + " not started again: " + stopped);
            }
        }
    }

    final Path folder = Files.createTempDirectory("review");
    final List<Machine> cores = new ArrayList<>();
    final List<Machine> entries = new ArrayList<>();
    final Map<String, String[]> instances = new LinkedHashMap<>();
    final int frontPort = freePort();
    final int readyPort = freePort();
    final int controlPort = freePort();
    final int linkPort = freePort();
    private final Map<String, String> commands = commands();
    private final Http.Server platform;
    private final PrintWriter record;
    private final long start = System.nanoTime();
    private volatile boolean closing;

    Rig(Path caseFolder, int entryCount) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        platform = new Http.Server("127.0.0.1", 0, (request, out) -> {
            boolean isList = request.target().startsWith("/instances");
            Http.answer(out, isList ? 200 : 404, Http.headers("Content-Type", "application/json"), list());
            return true;
        });
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        for (int i = 1; i <= 3; i++) cores.add(new Machine("store-" + i, "core", "127.0.0.1" + i, 450));
        for (int i = 1; i <= entryCount; i++) entries.add(new Machine("front-" + i, "entry", "127.0.0.2" + i, 430));
    }

    /** Starts all processes, sends [configuration] and waits until all entries are ready. */
    void start(String configuration) throws Exception {
        for (Machine machine : cores) machine.start();
        finishStart(configuration);
    }

    /** Does the rest of [start] after the cores have been started. */
    void finishStart(String configuration) throws Exception {
        for (Machine machine : entries) machine.start();
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (operator("POST", "/api/config/replace", configuration.getBytes(StandardCharsets.UTF_8)) != 200) {
            if (System.nanoTime() > deadline) throw new IOException("the configuration was not acknowledged");
            Thread.sleep(200);
        }
        note("configuration acknowledged");
        for (Machine entry : entries) {
            while (!isReady(entry)) {
                if (System.nanoTime() > deadline) throw new IOException(entry.name + " is not ready");
                Thread.sleep(100);
            }
        }
        note("all entries are ready");
    }

    /** Kills the process of [core], deletes its disk and starts it again after [downMs]. */
    void loseDisk(Machine core, int downMs) throws Exception {
        core.wanted = false;
        core.process.destroyForcibly().waitFor();
        try (Stream<Path> files = Files.walk(folder.resolve(core.name))) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
        note(core.name + " lost its disk");
        Thread.sleep(downMs);
        core.wanted = true;
        core.start();
        note(core.name + " is back with an empty disk");
    }

    boolean isReady(Machine entry) {
        try (Http.Connection connection = new Http.Connection(entry.host, readyPort, 1_000)) {
            return connection.call("GET", "/api/ready", Http.headers("Host", "ready"), null).status() == 200;
        } catch (IOException | RuntimeException absent) {
            return false;
        }
    }

    /** Calls the operators' interface, at one core after the other and after redirects; returns the last status. */
    int operator(String method, String path, byte[] body) {
        int status = 0;
        for (Machine core : cores) {
            String host = core.host;
            for (int redirects = 0; redirects < 3; redirects++) {
                try (Http.Connection connection = new Http.Connection(host, controlPort, 1_500)) {
                    Http.Message answer = connection.call(method, path, Http.headers("Host", "control"), body);
                    status = answer.status();
                    if (status != 307) break;
                    host = answer.header("location").split("/")[2].split(":")[0];
                } catch (IOException | RuntimeException absent) {
                    break;
                }
            }
            if (status == 200) return status;
        }
        return status;
    }

    /** Adds a sampler to the platform's list. */
    synchronized void enlist(String id, String service, String address, int slots) {
        instances.put(id, new String[] {service, address, Integer.toString(slots)});
    }

    /** Replaces the entry of a sampler that has started again. */
    synchronized void relist(String former, String id, String service, String address, int slots) {
        if (former != null) instances.remove(former);
        enlist(id, service, address, slots);
    }

    private synchronized byte[] list() {
        List<String> entries = new ArrayList<>();
        instances.forEach((id, at) -> entries.add("{\"service\":\"" + at[0] + "\",\"address\":\"" + at[1]
            + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":" + at[2] + ",\"state\":\"ready\",\"coldRemainingMs\":0,"
            + "\"stage\":\"both\",\"models\":[{\"name\":\"" + MODEL + "\",\"version\":1,\"adapters\":[]}],\"id\":\""
            + id + "\"}"));
        String page = "{\"instances\":[" + String.join(",", entries) + "],\"nextToken\":null}";
        return page.getBytes(StandardCharsets.UTF_8);
    }

    /** Writes a line with the time since the start into record.txt. */
    void note(String text) {
        record.printf("%8.3f %s%n", (System.nanoTime() - start) / 1e9, text);
    }

    int ownEnds(List<Machine> machines) {
        return machines.stream().mapToInt(machine -> machine.ownEnds.get()).sum();
    }

    @Override
    public void close() {
        if (closing) return;
        closing = true;
        Stream.concat(cores.stream(), entries.stream()).map(machine -> machine.process).filter(p -> p != null)
            .forEach(Process::destroyForcibly);
        for (Machine machine : Stream.concat(cores.stream(), entries.stream()).toList()) {
            try {
                if (machine.process != null) machine.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        String keep = System.getenv("KEEP_LOGS");
        if (keep != null) return;
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException left) {
            // Files in a temporary folder.
        }
    }

    private String render(String template, Machine machine, boolean isFirst) {
        String seeds = String.join(",", cores.stream().map(core -> core.host + ":" + controlPort).toList());
        boolean isCore = machine.role.equals("core");
        Map<String, String> values = Map.ofEntries(
            Map.entry("node", machine.name), Map.entry("role", machine.role), Map.entry("zone", "z1"),
            Map.entry("region", "r1"), Map.entry("ip", machine.host), Map.entry("portRange.0", "" + linkPort),
            Map.entry("dataDir", isCore ? folder.resolve(machine.name).toString() : ""),
            Map.entry("listen.front", isCore ? "" : machine.host + ":" + frontPort),
            Map.entry("listen.ready", isCore ? "" : machine.host + ":" + readyPort),
            Map.entry("listen.control", isCore ? machine.host + ":" + controlPort : ""),
            Map.entry("seeds", seeds), Map.entry("bootstrap", "" + isFirst),
            Map.entry("faultTolerance.machines", "1"), Map.entry("cloudApi.address", platform.address()),
            Map.entry("bounds.graceS", "8"), Map.entry("bounds.leaseMs", "3000"),
            Map.entry("limits.memoryMb", "" + machine.memoryMb));
        return PLACEHOLDER.matcher(template).replaceAll(
            match -> Matcher.quoteReplacement(values.getOrDefault(match.group(1), "")));
    }

    /** Reads the commands of the roles from the deploy file. */
    private static Map<String, String> commands() throws IOException {
        Map<String, String> commands = new LinkedHashMap<>();
        String role = null;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[roles.")) role = line.substring(7, line.indexOf(']'));
            if (line.startsWith("run = ")) commands.put(role, line.substring(7, line.lastIndexOf('"')));
        }
        return commands;
    }

    /** Returns a port below the usual range of outgoing connections that is free on all stand-in machines. */
    private static int freePort() throws IOException {
        for (int attempt = 0; attempt < 200; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 30_000);
            if (!CHOSEN.add(port)) continue;
            try {
                for (String host : HOSTS) {
                    try (ServerSocket socket = new ServerSocket()) {
                        socket.bind(new InetSocketAddress(host, port));
                    }
                }
                return port;
            } catch (IOException used) {
                // Another port is tried.
            }
        }
        throw new IOException("no free port");
    }

    /** The configuration of a small deployment; the limits are those of the pages' example. */
    static String configuration(String extraRoutes) {
        return "{\"version\":1,\"routes\":[{\"name\":\"r-safe\",\"host\":\"a.example\",\"pathPrefix\":\"/safe/\","
            + "\"routeType\":\"safe\",\"timeoutMs\":5000,\"targetLatencyMs\":4000,\"priority\":2,"
            + "\"service\":\"app\",\"maxAttempts\":2}," + extraRoutes
            + "{\"name\":\"r-rollout\",\"host\":\"a.example\",\"pathPrefix\":\"/roll/\",\"routeType\":\"rollout\","
            + "\"timeoutMs\":10000,\"targetLatencyMs\":400,\"priority\":1,\"service\":\"lm\",\"maxAttempts\":3,"
            + "\"maxQueueS\":40.0,\"runTargetMs\":7500,\"singleVersion\":false,\"sessionAffinity\":true,"
            + "\"resumable\":true}],\"services\":["
            + "{\"name\":\"lm\",\"healthPath\":\"/health\",\"maxConnections\":180,\"protocol\":\"h1\",\"tls\":false,"
            + "\"engine\":{\"slots\":16,\"kvCapacityTokens\":42521,\"models\":[{\"name\":\"" + MODEL + "\"}]}},"
            + "{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":33554432,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000}}";
    }

    static byte[] filled(int size) {
        byte[] bytes = new byte[size];
        Arrays.fill(bytes, (byte) 'x');
        return bytes;
    }
}
