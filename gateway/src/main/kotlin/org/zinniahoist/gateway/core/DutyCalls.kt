package org.zinniahoist.gateway.core

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.zinniahoist.gateway.dialect.DutyCall
import org.zinniahoist.gateway.dialect.DutyDialect
import org.zinniahoist.gateway.upstream.ForwardedFields
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.duty.DutyAnswer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Makes the calls of the duties as their only holder.
 *
 * [grant], [activate] and [deactivate] must be used on the engine thread.
 *
 * @param exchange sends a request to the platform and returns the status of the response, or null without one.
 * @param drawFence draws a fencing token that is higher than all before, or returns null if that fails.
 */
internal class DutyCalls(
    private val dialect: DutyDialect,
    private val scope: CoroutineScope,
    private val post: (() -> Unit) -> Unit,
    private val clock: () -> Moment,
    private val confirmLeadership: suspend () -> Boolean,
    private val drawFence: suspend () -> FencingToken?,
    private val exchange: suspend (RequestHeaders, ByteArray) -> Int?,
    private val wallMilliseconds: () -> Long = System::currentTimeMillis,
) {
    /** Authority of the present term with its first fencing token, or null while this replica is not the holder. */
    @Volatile
    private var firstGrant: OrderAuthority? = null

    /** The authority for calls; null while this replica is not the holder or obtains a new fencing token. */
    @Volatile
    private var current: OrderAuthority? = null

    fun activate(authority: OrderAuthority) {
        firstGrant = authority
        current = authority
    }

    fun deactivate() {
        firstGrant = null
        current = null
    }

    /** Returns the authority for calls at [now], or null if there must be none yet or no more. */
    fun grant(now: Moment): OrderAuthority? = current?.takeIf { now >= it.from }

    /**
     * Makes [call] under [grant] if that still holds once the leadership is confirmed. A token that the platform
     * refuses as too low is never used again.
     */
    suspend fun send(grant: OrderAuthority, call: DutyCall): DutyAnswer {
        val askedAt = clock()
        val askedAtWall = wallMilliseconds()
        val longestAge = grant.lease * CONFIRMED_LEASE_SHARE
        val isConfirmed = withTimeoutOrNull(longestAge) { confirmLeadership() } == true
        // A replica that was paused meanwhile, or leads again with another token, must not use the earlier authority.
        // The monotonic clock may stand still while the machine is paused.
        val age = maxOf(clock() - askedAt, (wallMilliseconds() - askedAtWall).milliseconds)
        if (!isConfirmed || current != grant || age >= longestAge) return DutyAnswer.NOT_SENT
        val answer = answerTo(grant, call)
        if (answer == DutyAnswer.STALE_FENCE) post { replaceFence(grant) }
        return answer
    }

    private suspend fun answerTo(grant: OrderAuthority, call: DutyCall): DutyAnswer {
        val headers = ForwardedFields.request(HttpMethod.POST, call.path).set("content-type", "application/json")
        dialect.fields(grant.holder, grant.fence).forEach { (name, value) -> headers.set(name, value) }
        return when (exchange(headers.build(), call.body)) {
            null -> DutyAnswer.UNKNOWN
            in SUCCESS -> DutyAnswer.ACCEPTED
            CONFLICT -> DutyAnswer.STALE_FENCE
            TOO_MANY_REQUESTS -> DutyAnswer.THROTTLED
            else -> DutyAnswer.REFUSED
        }
    }

    private fun replaceFence(refused: OrderAuthority) {
        if (current != refused) return
        current = null
        val term = firstGrant
        scope.launch {
            var token = drawFence()
            while (token == null && firstGrant === term) {
                delay(REDRAW_INTERVAL)
                token = drawFence()
            }
            post { onFence(term, refused, token) }
        }
    }

    private fun onFence(term: OrderAuthority?, refused: OrderAuthority, token: FencingToken?) {
        if (firstGrant !== term || token == null) return
        logger.info { "event=duty-fence-replaced refused=${refused.fence} fence=$token" }
        current = refused.copy(fence = token)
    }

    companion object {
        private val logger = KotlinLogging.logger {}

        /** With the age of the confirmation, stays below the lease that the next holder waits. */
        val CALL_TIMEOUT: Duration = 1.seconds
        private val REDRAW_INTERVAL = 500.milliseconds

        /** Share of the lease within which a confirmed leader begins a call; the rest is for the call to arrive. */
        private const val CONFIRMED_LEASE_SHARE = 0.5
        private val SUCCESS = 200..299
        private const val CONFLICT = 409
        private const val TOO_MANY_REQUESTS = 429
    }
}
