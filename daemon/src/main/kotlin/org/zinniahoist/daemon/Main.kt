package org.zinniahoist.daemon

import arrow.core.Either
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import com.linecorp.armeria.client.ClientFactory
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import org.slf4j.LoggerFactory
import org.zinniahoist.daemon.control.ControlGroups
import org.zinniahoist.daemon.timeline.HybridClock
import org.zinniahoist.daemon.timeline.TimelineHttp
import org.zinniahoist.daemon.timeline.TimelineRecorder
import org.zinniahoist.settings.DaemonSettings
import org.zinniahoist.settings.DaemonSettingsReader
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.system.exitProcess

/** Starts a daemon and stops it gracefully when the process is asked to end. */
public fun main(arguments: Array<String>) {
    val parser = ArgParser("zinniahoist")
    val file by parser.option(ArgType.String, "settings", "s", "Settings file of the daemon (INI)")
    val check by parser.option(
        ArgType.Boolean,
        "check",
        description = "Checks the settings file and ends",
    ).default(false)
    val bootstrap by parser.option(
        ArgType.Boolean,
        "bootstrap",
        description = "Creates the first replica of the consensus groups and ends; once for each deployment",
    ).default(false)
    val version by parser.option(ArgType.Boolean, "version", description = "Prints the version and ends").default(false)
    parser.parse(arguments)
    if (version) {
        println("zinniahoist ${DaemonSettings::class.java.`package`.implementationVersion ?: "development"}")
        return
    }
    val path = file ?: fail(ExitCode.USAGE, "option --settings is missing; see --help")
    val settings = DaemonSettingsReader.read(Path.of(path)).fold(
        { faults -> fail(ExitCode.INVALID_SETTINGS, faults.joinToString("\n") { it.message }) },
        { it },
    )
    when {
        check -> println("$path: no faults")
        bootstrap -> bootstrap(settings)
        else -> run(settings)
    }
}

private fun bootstrap(settings: DaemonSettings) {
    val control = settings.control
    val folder = settings.dataFolder
    if (control == null ||
        folder == null
    ) {
        fail(ExitCode.USAGE, "only a daemon with the role control can be bootstrapped")
    }
    val result = ControlGroups.bootstrap(settings.name, control, Path.of(folder), System.currentTimeMillis())
    if (result is Either.Left) fail(ExitCode.START_FAILED, result.value.message)
    println("created the first replica of each group under $folder")
}

private fun run(settings: DaemonSettings) {
    (LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) as Logger).level = Level.valueOf(settings.logLevel.uppercase())
    // The hook would close the sidecar's connections to its upstream while the daemon still drains.
    ClientFactory.disableShutdownHook()
    val timeline = TimelineRecorder(settings.name, HybridClock(System::currentTimeMillis))
    val daemon = Daemon(settings, timeline, configure = TimelineHttp(timeline)::configure)
    val stopped = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(
        Thread {
            runBlocking { daemon.drain() }
            stopped.countDown()
        },
    )
    try {
        runBlocking { daemon.start() }
    } catch (failure: DaemonStartFailure) {
        fail(ExitCode.START_FAILED, failure.message.orEmpty())
    }
    while (!daemon.isStopped && stopped.count > 0) stopped.await(STOP_CHECK_MILLISECONDS, TimeUnit.MILLISECONDS)
    if (daemon.isStopped) exitProcess(0)
}

private fun fail(code: ExitCode, message: String): Nothing {
    System.err.println("zinniahoist: $message")
    exitProcess(code.value)
}

private const val STOP_CHECK_MILLISECONDS = 500L

/** Exit codes of the daemon. */
private enum class ExitCode(val value: Int) {
    START_FAILED(1),
    USAGE(2),
    INVALID_SETTINGS(4),
}
