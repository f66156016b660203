package org.zinniahoist.daemon.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.zinniahoist.model.Group
import org.zinniahoist.model.SampleIdentifier
import org.zinniahoist.model.Step
import org.zinniahoist.model.StepNumber
import org.zinniahoist.model.TrainerName
import org.zinniahoist.model.WeightVersion
import java.net.URLDecoder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A parsed request of a trainer. */
internal sealed interface TrainerRequest {
    val trainer: TrainerName

    data class Submit(val step: Step) : TrainerRequest {
        override val trainer: TrainerName get() = step.trainer
    }

    data class Fetch(
        override val trainer: TrainerName,
        val cursor: Cursor?,
        val limit: Int,
        val wait: Duration,
        val version: WeightVersion?,
    ) : TrainerRequest

    data class Acknowledge(
        override val trainer: TrainerName,
        val samples: List<SampleIdentifier>,
    ) : TrainerRequest

    data class Announce(
        override val trainer: TrainerName,
        val version: WeightVersion,
    ) : TrainerRequest

    /** Notification, from another entry only, that the ledger's record of the trainer has changed. */
    data class Refresh(override val trainer: TrainerName) : TrainerRequest
}

/** Position in the samples that are delivered under the fencing token [token]. */
internal data class Cursor(
    val token: Long,
    val position: Long,
) {
    override fun toString(): String = "$token.$position"

    companion object {
        private val FORMAT = Regex("(\\d{1,18})\\.(\\d{1,18})")

        fun parse(text: String): Cursor? = FORMAT.matchEntire(text)?.destructured?.let { (token, position) ->
            Cursor(token.toLong(), position.toLong())
        }
    }
}

/** Reason why a trainer's request was rejected by the parser. */
internal data class TrainerParseError(
    val detail: String,
    val unknownRoute: Boolean = false,
)

/** Parses and validates requests of trainers. */
internal object TrainerRequestParser {
    private const val MAXIMUM_GROUPS = 65_536
    private const val MAXIMUM_SAMPLES = 4_096
    private const val MAXIMUM_TOKENS = 1_048_576
    private const val DEFAULT_LIMIT = 256
    private const val MAXIMUM_LIMIT = 4_096
    private val MAXIMUM_WAIT = 60.seconds

    /** Parses the request with [method], [target] (path and query) and [body]. */
    fun read(method: String, target: String, body: ByteArray): Either<TrainerParseError, TrainerRequest> {
        val parts = target.substringBefore('?').removePrefix(TrainerService.PATH_PREFIX).split('/')
        val trainer = TrainerName(parts[0])
        return when (method to parts.drop(1).firstOrNull()) {
            "PUT" to "steps" -> parts.getOrNull(2)?.let { submit(trainer, it, body) } ?: unknown()
            "GET" to "samples" -> fetch(trainer, parameters(target))
            "POST" to "acknowledgements" -> acknowledge(trainer, body)
            "PUT" to "version" -> parse<VersionBody>(body) { announce(trainer, it.version) }
            "POST" to "refresh" -> TrainerRequest.Refresh(trainer).right()
            else -> unknown()
        }
    }

    private fun unknown() = TrainerParseError("no such route", unknownRoute = true).left()

    private fun invalid(detail: String) = TrainerParseError(detail).left()

    private fun submit(
        trainer: TrainerName,
        number: String,
        body: ByteArray,
    ): Either<TrainerParseError, TrainerRequest> {
        val step = number.toLongOrNull()?.takeIf { it >= 0 } ?: return invalid("the step is no number from 0")
        return parse<StepBody>(body) { content ->
            val groups = content.groups
            when {
                groups.isEmpty() || groups.size > MAXIMUM_GROUPS -> invalid("1 to $MAXIMUM_GROUPS groups")
                groups.any { it.samples !in 1..MAXIMUM_SAMPLES } -> invalid("1 to $MAXIMUM_SAMPLES samples in a group")
                groups.any { it.maximumTokens !in 1..MAXIMUM_TOKENS } -> invalid("1 to $MAXIMUM_TOKENS tokens")
                else -> {
                    val stored = groups.map { Group(it.prompt, it.samples, it.maximumTokens) }
                    TrainerRequest.Submit(Step(trainer, StepNumber(step), stored)).right()
                }
            }
        }
    }

    private fun fetch(trainer: TrainerName, query: Map<String, String>): Either<TrainerParseError, TrainerRequest> {
        val cursor = query["cursor"]?.takeIf { it.isNotEmpty() }
            ?.let { Cursor.parse(it) ?: return invalid("cursor has the form <token>.<position>") }
        val limit = number(query, "limit", DEFAULT_LIMIT.toLong()) ?: return invalid("limit is no number")
        val wait = number(query, "wait_ms", 0) ?: return invalid("wait_ms is no number")
        val version = query["version"]?.let { number(query, "version", 0) ?: return invalid("version is no number") }
        if (limit !in 1..MAXIMUM_LIMIT) return invalid("limit is 1 to $MAXIMUM_LIMIT")
        return TrainerRequest.Fetch(
            trainer,
            cursor,
            limit.toInt(),
            minOf(wait.milliseconds, MAXIMUM_WAIT),
            version?.let(::WeightVersion),
        ).right()
    }

    private fun number(query: Map<String, String>, name: String, default: Long): Long? =
        query[name].let { if (it == null) default else it.toLongOrNull()?.takeIf { number -> number >= 0 } }

    private fun acknowledge(trainer: TrainerName, body: ByteArray) = parse<AcknowledgementBody>(body) { content ->
        val samples = content.samples.map(SampleIdentifier::parse)
        when {
            samples.any { it == null } -> invalid("a sample has the form trainer/step/group/index")
            samples.any { it?.trainer != trainer } -> invalid("a sample belongs to another trainer")
            else -> TrainerRequest.Acknowledge(trainer, samples.filterNotNull()).right()
        }
    }

    private fun announce(trainer: TrainerName, version: Long): Either<TrainerParseError, TrainerRequest> = if (version <
        0
    ) {
        invalid("version is negative")
    } else {
        TrainerRequest.Announce(trainer, WeightVersion(version)).right()
    }

    private inline fun <reified T> parse(
        body: ByteArray,
        read: (T) -> Either<TrainerParseError, TrainerRequest>,
    ): Either<TrainerParseError, TrainerRequest> {
        val content = try {
            Json.decodeFromString<T>(body.decodeToString(throwOnInvalidSequence = true))
        } catch (exception: IllegalArgumentException) {
            return invalid(exception.message.orEmpty().lineSequence().first())
        } catch (_: java.nio.charset.CharacterCodingException) {
            return invalid("the body is no UTF-8")
        }
        return read(content)
    }

    private fun parameters(target: String): Map<String, String> = target.substringAfter('?', "").split('&')
        .filter { it.contains('=') }
        .associate { it.substringBefore('=') to decoded(it.substringAfter('=')) }

    private fun decoded(text: String): String = try {
        URLDecoder.decode(text, Charsets.UTF_8)
    } catch (_: IllegalArgumentException) {
        text
    }
}

@Serializable
private data class StepBody(val groups: List<GroupBody>)

@Serializable
private data class GroupBody(
    val prompt: String,
    val samples: Int,
    @SerialName("maximum_tokens") val maximumTokens: Int = 1_024,
)

@Serializable
private data class AcknowledgementBody(val samples: List<String>)

@Serializable
private data class VersionBody(val version: Long)
