package org.zinniahoist.standin.engine

import kotlin.time.Duration

/** Receives the tokens of one stream on the thread of the decode loop. */
internal interface TokenSink {
    /** Accepts one token; [finishReason] is not null at the last one. */
    fun accept(text: String, version: Long?, finishReason: String?)

    /** Ends the answer because the engine gave the stream up. */
    fun abort()
}

/** One request in the batch or in the queue of the decode loop. */
internal class DecodeStream(
    val identifier: String,
    val model: String,
    val prompt: String,
    val answer: AnswerText,
    val firstPosition: Int,
    val importedCache: Boolean,
    val sink: TokenSink,
) {
    @Volatile
    var cancelled: Boolean = false

    /** Time before which the stream gives no token. Set at admission. */
    var firstTokenAt: Duration = Duration.ZERO

    @Volatile
    var position: Int = firstPosition
        private set

    private val spans = mutableListOf<VersionSpan>()

    val finished: Boolean get() = position >= answer.tokens

    /** The versions of the tokens that this stream has generated on this engine. */
    @Synchronized
    fun spans(): List<VersionSpan> = spans.toList()

    /** Generates the next token with [version]. */
    fun advance(version: Long?) {
        val text = answer.token(position)
        synchronized(this) {
            position += 1
            spans.append(version, 1)
        }
        sink.accept(text, version, answer.finishReason.takeIf { finished })
    }
}
