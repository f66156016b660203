package org.zinniahoist.gateway.core

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.ResponseHeaders
import org.zinniahoist.gateway.entry.UpstreamFixture
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.ServiceName
import org.zinniahoist.policy.routes.Route
import org.zinniahoist.policy.routes.RouteKind
import org.zinniahoist.policy.routes.ServiceShare
import org.zinniahoist.state.service.BatchItem
import org.zinniahoist.state.service.RewardRequest
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A reward call at the upstream; [number] counts the calls with the same identifier from 1. */
internal class ReceivedRewardCall(
    val identifier: String,
    val path: String,
    val number: Int,
)

/** Creates items that need a score, and the route and the responses of the service that scores them. */
internal object RewardServiceFixture {
    val SCORERS = ServiceName("scorers")
    const val SCORE_PREFIX = "/score/"
    const val SCORER_SLOTS = 8

    /** Returns a success whose stamp is [stamp]. */
    fun scored(call: ReceivedRewardCall, stamp: String): HttpResponse = HttpResponse.of(
        ResponseHeaders.builder(HttpStatus.OK)
            .set(UpstreamFixture.Names.requestIdentifier, call.identifier)
            .set(UpstreamFixture.Names.answerStamp, stamp)
            .build(),
        HttpData.ofUtf8("scored"),
    )

    /** Returns a response without a stamp. */
    fun failed(call: ReceivedRewardCall, status: HttpStatus): HttpResponse = HttpResponse.of(
        ResponseHeaders.builder(status).set(UpstreamFixture.Names.requestIdentifier, call.identifier).build(),
    )

    /** Returns an item that needs a score. */
    fun rewardedItem(name: String, group: String? = null) = BatchItem(
        identifier = RequestIdentifier(name),
        path = "/s/$name",
        headers = emptyList(),
        body = byteArrayOf(1),
        tokens = 10,
        group = group,
        reward = RewardRequest(RequestIdentifier("r-$name"), "h", "$SCORE_PREFIX$name?a=b", byteArrayOf(2)),
    )

    /** Returns the route of reward calls. */
    fun scoreRoute() = Route(
        name = "score",
        host = "h",
        pathPrefix = SCORE_PREFIX,
        kind = RouteKind.REPEATABLE,
        timeout = 2.seconds,
        target = 500.milliseconds,
        priority = 0,
        shares = listOf(ServiceShare(SCORERS, 1)),
        maximumAttempts = 4,
    )
}
