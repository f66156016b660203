package org.zinniahoist.model

import kotlinx.serialization.Serializable

/** What stands behind a sidecar. */
@Serializable
public sealed interface Upstream {
    /** The instance on which the upstream and its sidecar run. */
    public val instance: InstanceName

    /** The failure domain of [instance]. */
    public val failureDomain: FailureDomain

    /** An engine that generates tokens with the weights of [model]. */
    @Serializable
    public data class ModelEngine(
        override val instance: InstanceName,
        override val failureDomain: FailureDomain,
        public val model: ModelName,
        public val checksFencingTokens: Boolean = false,
    ) : Upstream

    /** A service that answers ordinary HTTP requests. */
    @Serializable
    public data class PlainService(
        override val instance: InstanceName,
        override val failureDomain: FailureDomain,
        public val service: ServiceName,
    ) : Upstream
}
