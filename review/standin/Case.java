import java.nio.file.Path;

/** Runs one case: its name, its folder, and TROUBLE=0 in the environment for the run without the disruption. */
public final class Case {
    private Case() {}

    /** Ends a run that hangs; the shutdown hook of the rig then ends all its processes. */
    private static void endAfter(int milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            return;
        }
        System.err.println("the case ran for too long");
        System.exit(2);
    }

    public static void main(String[] arguments) {
        boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Path.of(arguments[1]);
        Http.daemon(() -> endAfter(118_000));
        int code;
        try {
            code = switch (arguments[0]) {
                case "targets" -> Targets.run(folder, isTroubled);
                case "crashing-request" -> CrashingRequest.run(folder, isTroubled);
                case "first-start" -> FirstStart.run(folder, isTroubled);
                case "body-sizes" -> BodySizes.run(folder, isTroubled);
                case "job-sizes" -> JobSizes.run(folder, isTroubled);
                default -> throw new IllegalArgumentException("no case " + arguments[0]);
            };
        } catch (Exception failure) {
            System.err.println("the case couldn't run: " + failure);
            failure.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }
}
