package org.zinniahoist.gateway.upstream

import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.policy.poison.Fingerprint
import org.zinniahoist.policy.poison.RequestFingerprint

/** A request as its upstream receives it, without identifiers and deadlines. */
internal class RequestContent(
    private val method: String,
    private val authority: String,
    private val target: String,
    private val body: RequestBody,
) {
    /** Size of the body in bytes. */
    val bodyBytes: Int get() = body.size

    /** Identifies the request and its retries; computed once, when it is first needed. */
    val fingerprint: Fingerprint by lazy(LazyThreadSafetyMode.PUBLICATION) {
        RequestFingerprint.of(method, authority, target, body.pieces)
    }
}

/** Stops requests that crash the upstreams that run them. */
internal interface CrashGuard {
    /** Returns why [request] must not be sent to any upstream, or null if it may be sent. */
    fun refusalReason(request: RequestContent): String?

    /** Records that [upstream] closed the connection of [request] before any part of a response arrived. */
    fun onUnanswered(request: RequestContent, upstream: ListedUpstream)

    /** Records that an upstream ran [request] and responded. */
    fun onAnswered(request: RequestContent)
}

/** Records the [failure] of a call of [request] to [upstream], if it may be due to a crash. */
internal fun CrashGuard.onFailure(request: RequestContent, upstream: ListedUpstream, failure: Throwable) {
    if (failure is UnansweredException) onUnanswered(request, upstream)
}

/** Baseline: sends each request, whatever happened at its earlier runs. */
internal object PermissiveCrashGuard : CrashGuard {
    override fun refusalReason(request: RequestContent): String? = null

    override fun onUnanswered(request: RequestContent, upstream: ListedUpstream): Unit = Unit

    override fun onAnswered(request: RequestContent): Unit = Unit
}
