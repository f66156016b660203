package org.zinniahoist.state.report

import kotlinx.serialization.Serializable
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.SampleIdentifier

/**
 * An event of a daemon.
 *
 * @property sequence number of the event in its process, from 1.
 * @property step `trainer/step`.
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
        /** Longest value in characters; longer ones are cut. */
        public const val MAXIMUM_VALUE_LENGTH: Int = 1_024

        /** Returns the event with its identifiers taken from [content]; entries without a value are left out. */
        public fun of(
            sequence: Long,
            stamp: HybridStamp,
            instance: InstanceName,
            name: String,
            content: Map<String, Any?>,
        ): TimelineEvent {
            val texts = content.entries.mapNotNull { (key, value) ->
                value?.let { key to it.toString().take(MAXIMUM_VALUE_LENGTH) }
            }.toMap()
            val trace = texts["trace"]?.split('-')
            val isTraceParent = trace?.size == TRACE_PARENT_PARTS
            return TimelineEvent(
                sequence = sequence,
                stamp = stamp,
                instance = instance,
                name = name,
                request = texts["request"],
                sample = texts["sample"],
                step = stepOf(texts),
                revision = texts["revision"]?.toLongOrNull(),
                trace = if (isTraceParent) trace[1] else texts["trace"],
                span = if (isTraceParent) trace[2] else texts["span"],
                fields = fieldsOf(texts, instance),
            )
        }

        private fun stepOf(texts: Map<String, String>): String? {
            val sample = texts["sample"]?.let(SampleIdentifier::parse)
            val step = texts["step"]
            val trainer = texts["trainer"]
            return when {
                sample != null -> "${sample.trainer}/${sample.step}"
                step != null && trainer != null && '/' !in step -> "$trainer/$step"
                else -> step
            }
        }

        /** The instance of the event is the recording one; another instance among [texts] is kept as `peer`. */
        private fun fieldsOf(texts: Map<String, String>, instance: InstanceName): Map<String, String> {
            val peer = texts["instance"]?.takeIf { it != instance.value }
            val others = texts - IDENTIFIERS - "instance"
            return if (peer == null) others else others + ("peer" to peer)
        }

        private const val TRACE_PARENT_PARTS = 4
        private val IDENTIFIERS = setOf("request", "sample", "step", "revision", "trace", "span")
    }
}

/**
 * Events of one daemon, oldest first.
 *
 * @property next sequence number to pass as `after` for the following events.
 * @property lost events after the requested one that the buffer no longer holds.
 */
@Serializable
public data class TimelinePage(
    public val instance: InstanceName,
    public val events: List<TimelineEvent>,
    public val next: Long,
    public val lost: Long,
)
