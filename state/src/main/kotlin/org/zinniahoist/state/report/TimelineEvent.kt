package org.zinniahoist.state.report

import kotlinx.serialization.Serializable
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.SampleIdentifier

/**
 * An event in the timeline of a daemon.
 *
 * @property sequence sequence number of the event in its process, from 1.
 * @property step trainer and step number in the form `trainer/step`.
 * @property trace trace identifier of the W3C trace context.
 * @property span span identifier of the W3C trace context.
 */
@Serializable
public data class TimelineEvent(
    public val sequence: Long,
    public val stamp: HybridStamp,
    public val instance: InstanceName,
    public val name: String,
    public val request: String? = null,
    public val sample: String? = null,
    public val step: String? = null,
    public val revision: Long? = null,
    public val trace: String? = null,
    public val span: String? = null,
    public val fields: Map<String, String> = emptyMap(),
) {
    public companion object {
        /** Maximum length of a value in characters; longer values are truncated. */
        public const val MAXIMUM_VALUE_LENGTH: Int = 1_024

        /** Creates an event whose identifiers come from [content]; null values are omitted. */
        public fun of(
            sequence: Long,
            stamp: HybridStamp,
            instance: InstanceName,
            name: String,
            content: Map<String, Any?>,
        ): TimelineEvent {
            val values = content.entries.mapNotNull { (key, value) ->
                value?.let { key to it.toString().take(MAXIMUM_VALUE_LENGTH) }
            }.toMap()
            val trace = values["trace"]?.split('-')
            val isTraceParent = trace?.size == TRACE_PARENT_PARTS
            return TimelineEvent(
                sequence = sequence,
                stamp = stamp,
                instance = instance,
                name = name,
                request = values["request"],
                sample = values["sample"],
                step = stepOf(values),
                revision = values["revision"]?.toLongOrNull(),
                trace = if (isTraceParent) trace[1] else values["trace"],
                span = if (isTraceParent) trace[2] else values["span"],
                fields = fieldsOf(values, instance),
            )
        }

        private fun stepOf(values: Map<String, String>): String? {
            val sample = values["sample"]?.let(SampleIdentifier::parse)
            val step = values["step"]
            val trainer = values["trainer"]
            return when {
                sample != null -> "${sample.trainer}/${sample.step}"
                step != null && trainer != null && '/' !in step -> "$trainer/$step"
                else -> step
            }
        }

        /** Returns [values] without identifiers; an instance other than the recording [instance] becomes `peer`. */
        private fun fieldsOf(values: Map<String, String>, instance: InstanceName): Map<String, String> {
            val peer = values["instance"]?.takeIf { it != instance.value }
            val remaining = values - IDENTIFIERS - "instance"
            return if (peer == null) remaining else remaining + ("peer" to peer)
        }

        private const val TRACE_PARENT_PARTS = 4
        private val IDENTIFIERS = setOf("request", "sample", "step", "revision", "trace", "span")
    }
}

/**
 * A page of the timeline of one daemon, oldest event first.
 *
 * @property next sequence number to pass as `after` to read the next page.
 * @property lost number of events after the requested one that were evicted from the buffer.
 */
@Serializable
public data class TimelinePage(
    public val instance: InstanceName,
    public val events: List<TimelineEvent>,
    public val next: Long,
    public val lost: Long,
)
