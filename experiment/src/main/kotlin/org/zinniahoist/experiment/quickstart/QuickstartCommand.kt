package org.zinniahoist.experiment.quickstart

import com.linecorp.armeria.client.ClientFactory
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import org.zinniahoist.daemon.timeline.EventRecorder
import org.zinniahoist.daemon.timeline.HybridClock
import org.zinniahoist.daemon.timeline.TimelineRecorder
import org.zinniahoist.model.InstanceName
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.system.exitProcess

/** Runs a small deployment on loopback with real daemons and prints a report. */
@OptIn(ExperimentalCli::class)
internal class QuickstartCommand : Subcommand("quickstart", "Runs a small deployment on this machine.") {
    private val steps by option(ArgType.Int, "steps", description = "Training steps").default(3)
    private val groups by option(ArgType.Int, "groups", description = "Groups in a step").default(16)
    private val samples by option(ArgType.Int, "samples", description = "Samples in a group").default(8)
    private val rate by option(ArgType.Double, "rate", description = "Speed of the stand-in engines").default(10.0)
    private val prompts by option(ArgType.String, "prompts", description = "Prompts (JSON Lines)")
        .default("examples/prompts/hrubec.jsonl")
    private val requests by option(ArgType.String, "requests", description = "Order confirmations (JSON Lines)")
        .default("examples/requests/order-confirmations.jsonl")
    private val controls by option(
        ArgType.Choice(listOf("1", "3"), {
            it
        }),
        "controls",
        description = "Control replicas",
    )
        .default("1")
    private val verbose by option(ArgType.Boolean, "verbose", description = "Writes the event log").default(false)

    override fun execute() {
        // The hook would cut off the requests in flight that a graceful stop waits for.
        ClientFactory.disableShutdownHook()
        val clock = HybridClock(System::currentTimeMillis)
        val folder = Files.createTempDirectory("zinniahoist-quickstart")
        val stop = AtomicBoolean()
        val cluster = QuickstartCluster(folder, rate, controls.toInt()) { name ->
            if (verbose) TimelineRecorder(InstanceName(name), clock) else EventRecorder { _, _ -> }
        }
        val finished = CountDownLatch(1)
        // The process ends when its hooks have ended, so that the hook waits for the graceful stop.
        val hook = Thread {
            stop.set(true)
            finished.await(STOP_SECONDS, TimeUnit.SECONDS)
        }
        Runtime.getRuntime().addShutdownHook(hook)
        val report = try {
            run(cluster, stop)
        } catch (failure: Exception) {
            System.err.println("quickstart: $failure")
            exitProcess(2)
        }
        folder.toFile().deleteRecursively()
        println(report.render())
        finished.countDown()
        exitProcess(if (report.brokenPromises.isEmpty()) 0 else 1)
    }

    private fun run(cluster: QuickstartCluster, stop: AtomicBoolean): QuickstartReport = runBlocking {
        cluster.start()
        println("running: control replicas $controls, 2 entries, 4 sidecars before 3 engines and 1 plain service")
        val plan = QuickstartPlan(steps, groups, samples)
        val input = QuickstartInput.read(Path.of(prompts), Path.of(requests))
        QuickstartRun(cluster, plan, input, stop).run().also { cluster.drain() }
    }

    private companion object {
        const val STOP_SECONDS = 60L
    }
}
