package org.zinniahoist.settings

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Settings of the duties: calls to the platform that one process at a time makes. */
public data class DutySettings(
    /** Names of the duties to perform, as the platform calls them; none if the platform has no duties. */
    public val names: Set<String> = emptySet(),
    /** Calls a second that the platform takes from all processes together. */
    public val callsPerSecond: Double = DEFAULT_CALLS_PER_SECOND,
    /** Length of the windows of the usage reports. */
    public val reportWindow: Duration = DEFAULT_REPORT_WINDOW,
    /** Time after the end of a window at which its report is due. */
    public val reportLateness: Duration = DEFAULT_REPORT_LATENESS,
    /** Whether the platform requires fencing tokens. Has no effect, because they are sent in any case. */
    public val isFenceRequired: Boolean = true,
) {
    /** Values by key of the settings file. */
    internal fun values(): Map<String, Any?> = mapOf(
        "duties.names" to names,
        "duties.calls-per-second" to callsPerSecond,
        "duties.report-window-seconds" to reportWindow,
        "duties.report-lateness-seconds" to reportLateness,
        "duties.fence-required" to isFenceRequired,
    )

    internal companion object {
        const val DEFAULT_CALLS_PER_SECOND = 50.0
        val DEFAULT_REPORT_WINDOW = 5.seconds
        val DEFAULT_REPORT_LATENESS = 10.seconds
    }
}
