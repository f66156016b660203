package org.zinniahoist.standin.scorer

import com.dynatrace.hash4j.hashing.Hashing
import com.linecorp.armeria.server.ServerBuilder
import kotlinx.serialization.Serializable
import org.zinniahoist.standin.http.StandInServer
import org.zinniahoist.standin.http.answer
import org.zinniahoist.standin.http.jsonResponse
import org.zinniahoist.standin.http.standInJson
import java.net.URI

/** Body of `POST /score`. */
@Serializable
public data class ScoreRequest(public val text: String)

/** Answer of `POST /score`, from 0 up to but not including 1. */
@Serializable
public data class Score(public val score: Double)

/** Test double of a service that scores drafted samples. The same text always has the same score. */
public class StandInScorer : AutoCloseable {
    private val server = StandInServer(::addRoutes)

    /** Base address, for example `http://127.0.0.1:40123`. */
    public val address: URI get() = server.address

    /** Starts the scorer. */
    public fun start(): StandInScorer {
        server.start()
        return this
    }

    /** Returns the score of [text]. */
    public fun score(text: String): Double =
        (Hashing.komihash5_0().hashCharsToLong(text) ushr 1) / (Long.MAX_VALUE.toDouble() + 1)

    override fun close(): Unit = server.close()

    private fun addRoutes(builder: ServerBuilder) {
        builder.service("/score") { context, request ->
            answer(context, request) {
                jsonResponse(Score(score(standInJson.decodeFromString<ScoreRequest>(it.contentUtf8()).text)))
            }
        }
    }
}
