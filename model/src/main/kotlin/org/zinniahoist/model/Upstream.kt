package org.zinniahoist.model

import kotlinx.serialization.Serializable

/** Back end that a sidecar proxies. */
@Serializable
public sealed interface Upstream {
    /** The instance on which the upstream and its sidecar run. */
    public val instance: InstanceName

    /** The failure domain of [instance]. */
    public val failureDomain: FailureDomain

    /** Inference engine that generates tokens with the weights of [model]. */
    @Serializable
    public data class ModelEngine(
        override val instance: InstanceName,
        override val failureDomain: FailureDomain,
        public val model: ModelName,
        public val checksFencingTokens: Boolean = false,
    ) : Upstream

    /** HTTP service without model weights. */
    @Serializable
    public data class PlainService(
        override val instance: InstanceName,
        override val failureDomain: FailureDomain,
        public val service: ServiceName,
    ) : Upstream
}
