import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Sound samplers that note what they ran. */
final class Samplers {
    private Samplers() {}

    /** A request that a sampler ran. */
    record Run(String id, String method, String target, int bodyBytes, String lastEvent) {}

    /** Starts a plain service that works for [workMs] on each request and answers with [stampOf]. */
    static Http.Server plain(String id, int workMs, List<Run> runs) throws IOException {
        return new Http.Server("127.0.0.1", 0, (request, out) -> {
            if (refused(id, request, out)) return true;
            String identifier = request.header("zinniahoist-request-id");
            if (request.target().equals("/health")) {
                Http.answer(out, 200, Http.headers("Zinniahoist-Instance-Id", id), new byte[0]);
                return true;
            }
            runs.add(new Run(identifier, request.method(), request.target(), request.body.length, null));
            Thread.sleep(workMs);
            Http.answer(out, 200, Http.headers("Zinniahoist-Request-Id", identifier, "Zinniahoist-Response-Stamp",
                stampOf(identifier)), ("done " + identifier).getBytes(StandardCharsets.UTF_8));
            return true;
        });
    }

    /** Starts a model sampler whose texts have [events] events, one each [pauseMs]. */
    static Http.Server model(String id, int events, int pauseMs, List<Run> runs) throws IOException {
        return new Http.Server("127.0.0.1", 0, (request, out) -> {
            if (refused(id, request, out)) return true;
            if (request.target().startsWith("/api/report")) {
                Http.answer(out, 200, Http.headers("Content-Type", "application/json"),
                    ("{\"stage\":\"both\",\"models\":[{\"name\":\"" + Rig.MODEL + "\",\"version\":1,\"adapters\":[]}],"
                        + "\"busy\":false,\"sequence\":0,\"queueDepth\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":42521,"
                        + "\"capabilities\":0}").getBytes(StandardCharsets.UTF_8));
                return true;
            }
            String identifier = request.header("zinniahoist-request-id");
            String last = request.header("last-event-id");
            runs.add(new Run(identifier, request.method(), request.target(), request.body.length, last));
            out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                + "Zinniahoist-Request-Id: " + identifier + "\r\nZinniahoist-Response-Stamp: " + stampOf(identifier)
                + "\r\nZinniahoist-Weight-Versions: 1\r\n\r\n").getBytes(StandardCharsets.UTF_8));
            for (int i = last == null ? 1 : Integer.parseInt(last.trim()) + 1; i <= events; i++) {
                Thread.sleep(pauseMs);
                byte[] event = ("id: " + i + "\ndata: " + textOf(identifier, i) + "\n\n").getBytes(StandardCharsets.UTF_8);
                out.write((Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
                out.write(event);
                out.write("\r\n".getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            out.flush();
            return true;
        });
    }

    /** Answers 421 to a request that names another instance, and returns whether it did. */
    static boolean refused(String id, Http.Message request, OutputStream out) throws IOException {
        String expected = request.header("zinniahoist-expect-instance");
        if (expected == null || expected.equals(id)) return false;
        Http.answer(out, 421, Http.headers("Zinniahoist-Not-Run", "1"), new byte[0]);
        return true;
    }

    static String textOf(String identifier, int event) {
        return "event " + event + " of " + identifier;
    }

    static String stampOf(String identifier) {
        return "stamp." + identifier;
    }

    static List<Run> runs() {
        return new CopyOnWriteArrayList<>();
    }
}
