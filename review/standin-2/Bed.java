import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.function.*;
import java.util.regex.*;

/**
 * Starts the programs of the deploy file on loopback addresses, with stand-ins for the platform, the samplers, the
 * operator and the clients. One machine has one address; ports are the same on all machines, as the pages say.
 */
final class Bed implements AutoCloseable {
    static final long START = System.nanoTime();
    final Path folder;
    final Path repository = Path.of("").toAbsolutePath();
    final PrintWriter record;
    final int front, ready, control, link, app, platformPort;
    final String platformAddress = "127.0.9.1:";
    final Map<String, Machine> machines = new LinkedHashMap<>();
    final Map<String, Sampler> samplers = new LinkedHashMap<>();
    final ExecutorService threads = Executors.newCachedThreadPool(r -> { Thread t = new Thread(r); t.setDaemon(true); return t; });
    volatile boolean closing;
    private ServerSocket platform;

    Bed(Path recordFile) throws Exception {
        folder = Files.createTempDirectory("zinniahoist-review-");
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        int[] ports = freePorts(6);
        front = ports[0]; ready = ports[1]; control = ports[2]; link = ports[3]; app = ports[4]; platformPort = ports[5];
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    static int[] freePorts(int count) throws IOException {
        ServerSocket[] held = new ServerSocket[count];
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) { held[i] = new ServerSocket(0, 1, InetAddress.getByName("0.0.0.0")); ports[i] = held[i].getLocalPort(); }
        for (ServerSocket s : held) s.close();
        return ports;
    }

    static double now() { return (System.nanoTime() - START) / 1e9; }

    synchronized void note(String format, Object... arguments) {
        record.println(String.format(Locale.ROOT, "%8.3f ", now()) + String.format(Locale.ROOT, format, arguments));
    }

    // ---- processes -------------------------------------------------------------------------------------------

    final class Machine {
        final String name, role, address, zone;
        final int memoryMb;
        final Path settings, data, log;
        volatile Process process;
        volatile boolean wanted;
        final AtomicInteger ownEnds = new AtomicInteger();
        private boolean first = true;
        String seeds = "";

        Machine(String name, String role, String address, String zone, int memoryMb) throws IOException {
            this.name = name; this.role = role; this.address = address; this.zone = zone; this.memoryMb = memoryMb;
            settings = folder.resolve(name + ".ini");
            data = folder.resolve(name + ".data");
            log = folder.resolve(name + ".log");
            Files.createDirectories(data);
        }

        void start() throws IOException {
            wanted = true;
            launch();
        }

        private synchronized void launch() throws IOException {
            Files.writeString(settings, render());
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.directory(repository.toFile());
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("ZINNIAHOIST_SETTINGS", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            Process started = builder.start();
            process = started;
            note("platform: started %s (%s) pid %d", name, role, started.pid());
            first = false;
            started.onExit().thenAccept(p -> {
                if (closing) return;
                note("platform: %s ended with code %d%s", name, p.exitValue(), wanted ? " by itself" : "");
                if (!wanted) return;
                ownEnds.incrementAndGet();
                threads.submit(() -> { Thread.sleep(500); if (wanted && !closing) launch(); return null; });
            });
        }

        /** Sends a signal by its name, to this process only. */
        void signal(String signal) throws Exception {
            note("platform: SIG%s to %s", signal, name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        /** Kills the process, and does not start it again. */
        void kill() throws Exception {
            wanted = false;
            signal("KILL");
            process.waitFor();
        }

        void wipe() throws IOException { deleteTree(data); Files.createDirectories(data); }

        private List<String> command() throws IOException {
            String deploy = Files.readString(repository.resolve("deploy/system.toml"));
            Matcher m = Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]*)\"").matcher(deploy);
            if (!m.find()) throw new IOException("no role " + role);
            return Arrays.asList(m.group(1).replace("{{limits.memoryMb}}", Integer.toString(memoryMb)).split(" "));
        }

        private String render() throws IOException {
            boolean core = role.equals("core");
            Map<String, String> values = new HashMap<>();
            values.put("node", name); values.put("role", role); values.put("zone", zone); values.put("region", "cz-central");
            values.put("ip", address); values.put("portRange.0", "" + link); values.put("dataDir", data.toString());
            values.put("listen.front", core ? "" : address + ":" + front);
            values.put("listen.ready", core ? "" : address + ":" + ready);
            values.put("listen.control", core ? address + ":" + control : "");
            values.put("seeds", seeds); values.put("bootstrap", "" + first); values.put("faultTolerance.machines", "1");
            values.put("cloudApi.address", platformAddress + platformPort);
            values.put("bounds.graceS", "8"); values.put("bounds.leaseMs", "3000"); values.put("bounds.drainMs", "3000");
            values.put("bounds.requireFence", "true");
            Matcher m = Pattern.compile("\\{\\{([^}]*)\\}\\}").matcher(Files.readString(repository.resolve("deploy/process.ini")));
            return m.replaceAll(r -> Matcher.quoteReplacement(values.getOrDefault(r.group(1), "")));
        }
    }

    Machine machine(String name, String role, String address, String zone, int memoryMb) throws IOException {
        Machine machine = new Machine(name, role, address, zone, memoryMb);
        machines.put(name, machine);
        return machine;
    }

    /** Three cores and two entries in three zones. */
    void startSmall(int coreMb) throws Exception {
        List<Machine> cores = new ArrayList<>();
        for (int i = 1; i <= 3; i++) cores.add(machine("store-" + i, "core", "127.0.1." + i, "cz-central-" + "abc".charAt(i - 1), coreMb));
        List<Machine> entries = new ArrayList<>();
        for (int i = 1; i <= 2; i++) entries.add(machine("front-" + i, "entry", "127.0.2." + i, "cz-central-" + "abc".charAt(i - 1), 280));
        StringJoiner seeds = new StringJoiner(",");
        cores.forEach(c -> seeds.add(c.address + ":" + control));
        for (Machine m : machines.values()) { m.seeds = seeds.toString(); m.start(); }
    }

    List<Machine> cores() { return machines.values().stream().filter(m -> m.role.equals("core")).toList(); }
    List<Machine> entries() { return machines.values().stream().filter(m -> m.role.equals("entry")).toList(); }

    @Override public synchronized void close() {
        if (closing) return;
        closing = true;
        for (Machine m : machines.values()) {
            m.wanted = false;
            Process p = m.process;
            if (p == null) continue;
            p.destroyForcibly();
            try { p.waitFor(5, TimeUnit.SECONDS); } catch (InterruptedException e) { return; }
        }
        record.flush();
        String keep = System.getenv("KEEP");
        if (keep == null) try { deleteTree(folder); } catch (IOException e) { /* a leftover in the temporary folder */ }
        else System.err.println("kept " + folder);
    }

    static void deleteTree(Path root) throws IOException {
        if (!Files.exists(root)) return;
        try (var paths = Files.walk(root)) {
            for (Path p : paths.sorted(Comparator.reverseOrder()).toList()) Files.deleteIfExists(p);
        }
    }

    // ---- servers -----------------------------------------------------------------------------------------------

    static final class Request {
        String method, path, query = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        String text() { return new String(body, StandardCharsets.UTF_8); }
    }

    interface Handler { /** Returns false if the connection must be closed. */ boolean serve(Request request, Socket socket, OutputStream out) throws Exception; }

    ServerSocket serve(String address, int port, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(address, port), 256);
        threads.submit(() -> {
            while (!server.isClosed()) {
                Socket socket = server.accept();
                threads.submit(() -> { connection(socket, handler); return null; });
            }
            return null;
        });
        return server;
    }

    private void connection(Socket socket, Handler handler) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 1 << 14);
            while (true) {
                Request request = read(in);
                if (request == null) return;
                if (!handler.serve(request, socket, out)) return;
                out.flush();
            }
        } catch (Exception e) { /* the peer has gone */ }
    }

    static Request read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null || first.isEmpty()) return null;
        String[] parts = first.split(" ");
        Request request = new Request();
        request.method = parts[0];
        int mark = parts[1].indexOf('?');
        request.path = mark < 0 ? parts[1] : parts[1].substring(0, mark);
        if (mark >= 0) request.query = parts[1].substring(mark + 1);
        readHeaders(in, request.headers);
        request.body = readBody(in, request.headers, false);
        return request;
    }

    static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
        for (String l = line(in); l != null && !l.isEmpty(); l = line(in)) {
            int colon = l.indexOf(':');
            headers.put(l.substring(0, colon).trim(), l.substring(colon + 1).trim());
        }
    }

    static byte[] readBody(InputStream in, Map<String, String> headers, boolean untilClose) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                String l = line(in);
                if (l == null) throw new EOFException();
                int size = Integer.parseInt(l.split(";")[0].trim(), 16);
                if (size == 0) { line(in); return all.toByteArray(); }
                all.write(exactly(in, size));
                line(in);
            }
        }
        String length = headers.get("Content-Length");
        if (length != null) return exactly(in, Integer.parseInt(length));
        return untilClose ? in.readAllBytes() : new byte[0];
    }

    static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException();
        return bytes;
    }

    static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        int c = in.read();
        if (c < 0) return null;
        while (c >= 0 && c != '\n') { if (c != '\r') text.append((char) c); c = in.read(); }
        return text.toString();
    }

    static void answer(OutputStream out, int status, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length + "\r\n");
        headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
        out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    static void json(OutputStream out, int status, String body) throws IOException {
        answer(out, status, Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8));
    }

    /** Serves the platform's list. */
    void startPlatform() throws IOException {
        platform = serve("127.0.9.1", platformPort, (request, socket, out) -> {
            StringJoiner entries = new StringJoiner(",");
            synchronized (samplers) { for (Sampler s : samplers.values()) if (s.listed) entries.add(s.entry()); }
            json(out, 200, "{\"instances\":[" + entries + "],\"nextToken\":null}");
            return true;
        });
    }

    // ---- samplers ----------------------------------------------------------------------------------------------

    /** A run that reached a sampler. */
    record Run(double at, String sampler, String id, String path, String lastEvent, String version) { }

    final List<Run> runs = Collections.synchronizedList(new ArrayList<>());

    class Sampler {
        final String id, service, address, model;
        final int slots;
        volatile boolean listed = true, draining, busy;
        volatile long version = 1, sequence = 0;
        final AtomicInteger running = new AtomicInteger();
        final long born = System.currentTimeMillis();
        ServerSocket server;

        Sampler(String id, String service, String address, String model, int slots) {
            this.id = id; this.service = service; this.address = address; this.model = model; this.slots = slots;
        }

        String models() { return model == null ? "[]" : "[{\"name\":\"" + model + "\",\"version\":" + version + ",\"adapters\":[]}]"; }

        String entry() {
            return "{\"service\":\"" + service + "\",\"address\":\"" + address + ":" + app + "\",\"zone\":\"cz-central-a\",\"version\":\"v1\",\"slots\":" + slots
                + ",\"state\":\"" + (draining ? "draining" : "ready") + "\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":" + models() + ",\"id\":\"" + id + "\"}";
        }

        void start() throws IOException { server = Bed.this.serve(address, app, this::serve); }

        Map<String, String> own(Request r) {
            Map<String, String> h = new LinkedHashMap<>();
            if (r.headers.containsKey("Zinniahoist-Request-Id")) h.put("Zinniahoist-Request-Id", r.headers.get("Zinniahoist-Request-Id"));
            return h;
        }

        boolean serve(Request r, Socket socket, OutputStream out) throws Exception {
            String expected = r.headers.get("Zinniahoist-Expect-Instance");
            if (expected != null && !expected.equals(id)) {
                Map<String, String> headers = own(r);
                headers.put("Zinniahoist-Instance-Id", id);
                answer(out, 421, headers, new byte[0]);
                return true;
            }
            if (r.path.equals("/api/report")) {
                json(out, 200, "{\"stage\":\"both\",\"born\":" + born + ",\"models\":" + models() + ",\"busy\":" + busy + ",\"sequence\":" + sequence
                    + ",\"queueDepth\":0,\"running\":" + running + ",\"kvUsed\":0,\"kvTotal\":90000,\"capabilities\":0}");
                return true;
            }
            if (r.path.equals("/api/order")) { order(r, out); return true; }
            if (r.path.equals("/health")) { answer(out, 200, Map.of("Zinniahoist-Instance-Id", id), new byte[0]); return true; }
            if (running.incrementAndGet() > slots || busy) {
                running.decrementAndGet();
                Map<String, String> h = own(r);
                h.put("Zinniahoist-Not-Run", "1");
                answer(out, 503, h, new byte[0]);
                return true;
            }
            try {
                runs.add(new Run(now(), id, r.headers.get("Zinniahoist-Request-Id"), r.path, r.headers.get("Last-Event-Id"), "" + version));
                return run(r, socket, out);
            } finally { running.decrementAndGet(); }
        }

        int events(String item) { return 9; }
        long gapMs() { return 20; }
        long workMs() { return 30; }

        boolean run(Request r, Socket socket, OutputStream out) throws Exception {
            Map<String, String> h = own(r);
            h.put("Zinniahoist-Response-Stamp", "3e1b.07.5a2." + id);
            if (model == null) { Thread.sleep(workMs()); answer(out, 200, h, ("answer of " + id + " to " + r.headers.get("Zinniahoist-Request-Id")).getBytes()); return true; }
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nZinniahoist-Weight-Versions: " + version + "\r\n");
            h.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
            out.write(head.append("\r\n").toString().getBytes());
            String last = r.headers.get("Last-Event-Id");
            for (int n = last == null ? 1 : Integer.parseInt(last) + 1; n <= events(r.headers.get("Zinniahoist-Request-Id")); n++) {
                Thread.sleep(gapMs());
                chunk(out, "id: " + n + "\ndata: " + text(r.headers.get("Zinniahoist-Request-Id"), n) + "\n\n");
            }
            out.write("0\r\n\r\n".getBytes());
            out.flush();
            return true;
        }

        void order(Request r, OutputStream out) throws Exception {
            String body = r.text();
            long wanted = number(body, "version"), expect = number(body, "expect");
            note("sampler %s: order %s", id, body);
            synchronized (this) {
                if (wanted <= version) { json(out, 200, "{}"); return; }
                if (busy || (expect >= 0 && expect != sequence)) { json(out, 409, "{}"); return; }
                sequence++;
                busy = true;
            }
            threads.submit(() -> { Thread.sleep(900); version = wanted; busy = false; return null; });
            json(out, 202, "{}");
        }
    }

    static void chunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes());
        out.write(bytes);
        out.write("\r\n".getBytes());
        out.flush();
    }

    /** The text of event [n] of an item: the same at every sampler. */
    static String text(String item, int n) {
        Random random = new Random(item.hashCode() * 31L + n);
        StringBuilder text = new StringBuilder(item).append(' ').append(n);
        while (text.length() < 380) text.append(' ').append(Integer.toString(random.nextInt(5_000), 36));
        return text.toString();
    }

    static long number(String json, String name) {
        Matcher m = Pattern.compile("\"" + name + "\"\\s*:\\s*(-?\\d+)").matcher(json);
        return m.find() ? Long.parseLong(m.group(1)) : -1;
    }

    Sampler add(Sampler sampler) throws IOException {
        sampler.start();
        synchronized (samplers) { samplers.put(sampler.id, sampler); }
        return sampler;
    }

    // ---- calls -------------------------------------------------------------------------------------------------

    static final class Answer {
        int status;                     // 0 if the connection ended without an answer
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        String failure = "";
        String text() { return new String(body, StandardCharsets.UTF_8); }
        @Override public String toString() { return status == 0 ? "no answer (" + failure + ")" : "" + status; }
    }

    /** Makes one call on a connection of its own. */
    static Answer call(String address, int port, String method, String target, String host, Map<String, String> headers, byte[] body, int timeoutMs) {
        Answer answer = new Answer();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(address, port), 1000);
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            OutputStream out = socket.getOutputStream();
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Length: " + body.length + "\r\n");
            headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
            out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            String first = line(in);
            if (first == null) throw new EOFException("closed");
            int status = Integer.parseInt(first.split(" ")[1]);
            readHeaders(in, answer.headers);
            answer.body = readBody(in, answer.headers, true);
            answer.status = status;
        } catch (Exception e) { answer.failure = e.toString(); }
        return answer;
    }

    /** Makes a call of the operator: picks cores in turn, follows redirects twice, and repeats until a 2xx or a 4xx. */
    Answer operator(String method, String path, String body, double seconds) throws Exception {
        double end = now() + seconds;
        Answer last = new Answer();
        for (int i = 0; now() < end; i++) {
            String address = cores().get(i % cores().size()).address;
            int port = control;
            for (int hop = 0; hop < 3; hop++) {
                last = call(address, port, method, path, address, Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8), 1000);
                note("operator: %s %s of %d bytes at %s -> %s", method, path, body.length(), address, last);
                if (last.status != 307) break;
                URI location = URI.create(last.headers.get("Location"));
                address = location.getHost();
                port = location.getPort();
            }
            if (last.status / 100 == 2 || last.status == 400) return last;
            Thread.sleep(Math.min(100 + 50L * i, 500));
        }
        return last;
    }

    boolean isReady(Machine entry) { return call(entry.address, ready, "GET", "/api/ready", entry.address, Map.of(), new byte[0], 1000).status == 200; }

    /** Waits until all entries are ready. */
    boolean awaitReady(double seconds) throws Exception {
        double end = now() + seconds;
        while (now() < end) {
            if (entries().stream().allMatch(this::isReady)) return true;
            Thread.sleep(250);
        }
        return false;
    }

    /** Ends the case: writes the verdict and exits. */
    void finish(int code, String verdict) {
        synchronized (runs) {
            for (Run r : runs) record.println(String.format(Locale.ROOT, "%8.3f run: %s at %s, path %s, after event %s", r.at(), r.id(), r.sampler(), r.path(), r.lastEvent()));
        }
        note("verdict: %s", verdict);
        System.out.println(verdict);
        close();
        Runtime.getRuntime().halt(code);
    }
}
