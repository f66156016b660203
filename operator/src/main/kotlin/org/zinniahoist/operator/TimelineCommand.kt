package org.zinniahoist.operator

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import kotlinx.cli.ArgType
import kotlinx.cli.multiple
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.zinniahoist.state.report.ProblemReport
import org.zinniahoist.state.report.TimelineEvent
import org.zinniahoist.state.report.TimelinePage
import java.io.File
import java.io.IOException
import java.time.Instant

internal class TimelineCommand : ControlCommand("timeline", "Merge the events of several daemons by their stamps") {
    private val daemons by option(
        ArgType.String,
        "daemon",
        description = "HTTP address host:port of a daemon; repeatable",
    )
        .multiple()
    private val request by option(ArgType.String, "request", description = "Only events of this request")
    private val sample by option(ArgType.String, "sample", description = "Only events of trainer/step/group/index")
    private val step by option(ArgType.String, "step", description = "Only events of trainer/step")
    private val revision by option(ArgType.Int, "revision", description = "Only events of this settings revision")
    private val picture by option(
        ArgType.String,
        "picture",
        description = "SVG file to draw the step into; needs --step",
    )

    override fun perform(console: Console): Either<CommandFailure, Unit> = either {
        ensure(daemons.isNotEmpty()) { CommandFailure.usage("--daemon is missing; allowed: host:port of a daemon") }
        ensure(picture == null || step != null) { CommandFailure.usage("--picture needs --step") }
        val http = http().bind()
        val answers = daemons.associateWith { read(http, url(it)) }
        val events = answers.values.mapNotNull { it.getOrNull() }.flatten()
            .sortedWith(compareBy({ it.stamp }, { it.instance.value }, { it.sequence }))
        picture?.let { draw(events, File(it)).bind() }
        val selected = select(events)
        console.show(output, ListSerializer(TimelineEvent.serializer()), selected) {
            selected.joinToString("\n", transform = ::line)
        }
        val failures = answers.mapNotNull { (daemon, answer) -> answer.leftOrNull()?.let { "$daemon: $it" } }
        ensure(failures.isEmpty()) {
            CommandFailure.unavailable("events of these daemons are missing:\n" + failures.joinToString("\n"))
        }
    }

    private fun read(http: HttpAccess, daemon: String): Either<String, List<TimelineEvent>> {
        val events = mutableListOf<TimelineEvent>()
        var after = 0L
        while (true) {
            val answer = http.call("GET", "$daemon/timeline?after=$after&limit=$PAGE").fold({
                return it.left()
            }, { it })
            val page = Either.catch { JSON.decodeFromString(TimelinePage.serializer(), answer.body) }
                .fold({ return "status ${answer.status}: ${detail(answer)}".left() }, { it })
            events += page.events
            if (page.events.size < PAGE) return events.right()
            after = page.next
        }
    }

    private fun detail(answer: HttpAnswer): String = Either
        .catch { JSON.decodeFromString(ProblemReport.serializer(), answer.body).detail }
        .fold({ "no time line" }, { it })

    private fun select(events: List<TimelineEvent>): List<TimelineEvent> = events.filter {
        (request == null || it.request == request) &&
            (sample == null || it.sample == sample) &&
            (revision == null || it.revision == revision?.toLong())
    }.let { chosen -> step?.let { StepEvents.of(chosen, it) } ?: chosen }

    private fun draw(events: List<TimelineEvent>, file: File): Either<CommandFailure, Unit> = either {
        val drawn = StepPicture.of(events, step.orEmpty())
        ensure(drawn.bars.isNotEmpty()) { CommandFailure.refused("no attempts of step $step among the events") }
        Either.catch { file.writeText(StepDrawing(drawn).svg()) }
            .mapLeft {
                if (it is IOException) CommandFailure.refused("$file: can't be written: ${it.message}") else throw it
            }
            .bind()
    }

    private fun line(event: TimelineEvent): String {
        val identifiers = listOf(
            "request" to event.request,
            "sample" to event.sample,
            "step" to event.step.takeIf { event.sample == null },
            "revision" to event.revision,
            "trace" to event.trace,
        ).mapNotNull { (key, value) -> value?.let { "$key=$it" } }
        val fields = event.fields.map { (key, value) -> "$key=$value" }
        val time = Instant.ofEpochMilli(event.stamp.milliseconds)
        return (listOf("$time.${event.stamp.counter}", event.instance.value, event.name) + identifiers + fields)
            .joinToString(" ")
    }

    private companion object {
        const val PAGE = 5_000
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
