package org.zinniahoist.standin.client

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.common.HttpMethod
import kotlinx.serialization.Serializable
import org.zinniahoist.standin.http.standInJson
import java.net.URI
import java.util.concurrent.CompletionException

/** Answer to a call of a [TrainerClient]. */
public sealed interface TrainerAnswer<out T> {
    /** The call succeeded with [status]. */
    public data class Accepted<T>(
        public val status: Int,
        public val value: T,
    ) : TrainerAnswer<T>

    /** The call was refused. */
    public data class Refused(public val problem: Problem) : TrainerAnswer<Nothing>

    /** The connection broke before the whole answer. */
    public data class Broken(public val cause: String) : TrainerAnswer<Nothing>
}

/** Blocking client of the interface for trainers. Requests go to the [entries] in turn; samples are in [tally]. */
public class TrainerClient(
    entries: List<URI>,
    token: String,
    private val trainer: String,
    public val tally: TrainerTally = TrainerTally(),
    factory: ClientFactory = ClientFactory.ofDefault(),
) {
    private val client = EntryClient(entries, token, factory)
    private val base = "/v1/trainers/$trainer"

    /** Version that the trainer has announced last. */
    @Volatile
    public var version: Long = 0
        private set

    /** Submits a step. The status is 201, or 200 if the same step was submitted before. */
    public fun submit(step: Long, groups: List<TrainerGroup>): TrainerAnswer<Unit> {
        tally.expect(trainer, step, groups)
        return call(HttpMethod.PUT, "/steps/$step", standInJson.encodeToString(StepSubmission(groups))) { }
    }

    /** Fetches up to [limit] samples, waiting up to [waitMilliseconds] for the first one, and counts them. */
    public fun fetch(cursor: String = "", limit: Int = 64, waitMilliseconds: Long = 1_000): TrainerAnswer<SamplePage> {
        val current = version
        val query = "cursor=$cursor&limit=$limit&wait_ms=$waitMilliseconds&version=$current"
        val answer = call(HttpMethod.GET, "/samples?$query", null) { standInJson.decodeFromString<SamplePage>(it) }
        if (answer is TrainerAnswer.Accepted) answer.value.samples.forEach { tally.add(it, current) }
        return answer
    }

    /** Acknowledges samples by identifier and returns how many of them were acknowledged. */
    public fun acknowledge(identifiers: List<String>): TrainerAnswer<Int> =
        call(HttpMethod.POST, "/acknowledgements", standInJson.encodeToString(Acknowledgement(identifiers))) {
            standInJson.decodeFromString<Acknowledged>(it).acknowledged
        }

    /** Announces that the trainer has published [number]. */
    public fun announceVersion(number: Long): TrainerAnswer<Unit> {
        val answer = call(HttpMethod.PUT, "/version", standInJson.encodeToString(TrainerVersion(number))) { }
        if (answer is TrainerAnswer.Accepted) version = number
        return answer
    }

    /**
     * Fetches and acknowledges samples until no sample of [step] is missing or [giveUp] returns true, and returns the
     * number of missing samples.
     */
    public fun collect(step: Long, giveUp: () -> Boolean = { false }): Int {
        var cursor = ""
        while (tally.missing(trainer, step) > 0 && !giveUp()) {
            val answer = fetch(cursor)
            if (answer is TrainerAnswer.Accepted) {
                val received = answer.value.samples.map { it.identifier }
                if (received.isNotEmpty()) acknowledge(received)
                cursor = answer.value.cursor
            } else {
                cursor = ""
                Thread.sleep(RETRY_MILLISECONDS)
            }
        }
        return tally.missing(trainer, step)
    }

    private fun <T> call(
        method: HttpMethod,
        path: String,
        body: String?,
        read: (String) -> T,
    ): TrainerAnswer<T> {
        val response =
            try {
                client.send(method, base + path, body).aggregate().join()
            } catch (exception: CompletionException) {
                return TrainerAnswer.Broken(exception.cause.toString())
            }
        if (!response.status().isSuccess) return TrainerAnswer.Refused(response.problem())
        return TrainerAnswer.Accepted(response.status().code(), read(response.contentUtf8()))
    }

    @Serializable
    private data class Acknowledged(val acknowledged: Int)

    private companion object {
        private const val RETRY_MILLISECONDS = 50L
    }
}
