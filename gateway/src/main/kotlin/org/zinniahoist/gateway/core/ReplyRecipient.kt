package org.zinniahoist.gateway.core

/** The caller that receives the reply to a call. */
internal interface ReplyRecipient {
    /** False once the caller has timed out, retried or disconnected; the reply need not be built then. */
    val isWaiting: Boolean

    /** Waits for send capacity for a result page; returns false if none becomes available while the caller waits. */
    suspend fun awaitCapacity(): Boolean

    /** A component of this process, which accepts every reply without flow control. */
    object Local : ReplyRecipient {
        override val isWaiting: Boolean get() = true

        override suspend fun awaitCapacity(): Boolean = true
    }
}
