package org.zinniahoist.settings

/** How requests and items share upstreams when capacity is short. */
public data class SchedulingSettings(
    /** How an entry bounds its live requests in flight. */
    public val liveAdmission: LiveAdmissionMode = LiveAdmissionMode.NONE,
    public val itemOrder: ItemOrderSetting = ItemOrderSetting.DUE_TIME,
    public val placement: PlacementSetting = PlacementSetting.SLOTS,
) {
    /** Values by key of the settings file. */
    internal fun values(): Map<String, Any?> = mapOf(
        "scheduling.live-admission" to liveAdmission,
        "scheduling.item-order" to itemOrder,
        "scheduling.placement" to placement,
    )
}

/** How an entry bounds its live requests in flight to a service. */
public enum class LiveAdmissionMode {
    /** Each request is sent at once. */
    NONE,

    /** A limit adapts to the answers of the upstreams. */
    ADAPTIVE,
}

/** Order in which waiting items of batch jobs start. */
public enum class ItemOrderSetting {
    /** By the due time of their job. */
    DUE_TIME,

    /** By priority, then by the share of each workspace, then by the due time. */
    FAIR_SHARE,
}

/** Condition under which an upstream takes a further item. */
public enum class PlacementSetting {
    /** A slot is free. */
    SLOTS,

    /** A slot is free, and the expected tokens of the item fit into the memory of the engine. */
    MEMORY,
}
