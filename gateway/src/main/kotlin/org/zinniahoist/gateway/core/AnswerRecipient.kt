package org.zinniahoist.gateway.core

/** Who an answer is made for. */
internal interface AnswerRecipient {
    /** False once nobody waits for the answer, so that making it is of no use. */
    val isWaiting: Boolean

    /** Waits for room for a page of results; returns false if there is none while somebody waits for the page. */
    suspend fun awaitRoom(): Boolean

    /** A part of this process, which always takes the answer. */
    object Local : AnswerRecipient {
        override val isWaiting: Boolean get() = true

        override suspend fun awaitRoom(): Boolean = true
    }
}
