package org.zinniahoist.gateway.core

import org.zinniahoist.policy.reward.RewardAction
import org.zinniahoist.policy.reward.RewardCallEnd

/** Connections for tests without items that need a score. */
internal object UnusedRewardConnections : RewardConnections {
    override fun start(action: RewardAction.Call, onEnd: (RewardCallEnd) -> Unit) =
        error("no item of this test needs a score")

    override fun abort(call: Long) = Unit
}
