package org.zinniahoist.standin.client

import org.zinniahoist.standin.engine.AnswerCheck

/** Counts the samples that a trainer received, by identifier, and checks each of them. */
public class TrainerTally(private val stalenessBound: Long? = null) {
    private val groups = mutableMapOf<String, List<TrainerGroup>>()
    private val received = mutableMapOf<String, DeliveredSample>()
    private val found = mutableListOf<String>()
    private var repeats = 0
    private val stalenesses = mutableListOf<Long>()

    /** Number of distinct samples received. */
    @get:Synchronized
    public val samples: Int get() = received.size

    /** Number of deliveries of a sample that had been received before; they are not counted. */
    @get:Synchronized
    public val redeliveries: Int get() = repeats

    /** Descriptions of all samples that broke a promise. */
    @get:Synchronized
    public val defects: List<String> get() = found.toList()

    /** Staleness in versions of each counted sample at its delivery. */
    @get:Synchronized
    public val staleness: List<Long> get() = stalenesses.toList()

    /** Registers the groups of a step of [trainer], whose samples are expected from now on. */
    @Synchronized
    public fun expect(trainer: String, step: Long, submitted: List<TrainerGroup>) {
        groups["$trainer/$step"] = submitted
    }

    /** Returns the number of samples of a step that are still missing. */
    @Synchronized
    public fun missing(trainer: String, step: Long): Int {
        val expected = groups["$trainer/$step"].orEmpty().sumOf { it.samples }
        return expected - received.keys.count { it.startsWith("$trainer/$step/") }
    }

    /** Counts [sample], which was delivered when the trainer had [version]. */
    @Synchronized
    public fun add(sample: DeliveredSample, version: Long) {
        defectOf(sample, version)?.let { found.add("${sample.identifier}: $it") }
        val earlier = received.putIfAbsent(sample.identifier, sample)
        if (earlier != null) {
            repeats += 1
            return
        }
        sample.spans
            .mapNotNull { it.version }
            .minOrNull()
            ?.let { stalenesses.add(version - it) }
    }

    private fun defectOf(sample: DeliveredSample, version: Long): String? {
        val group = groupOf(sample.identifier) ?: return "the sample was not asked for"
        val oldest = sample.spans.mapNotNull { it.version }.minOrNull()
        return when {
            sample.spans.any { it.version == null } -> "a span has no version"
            sample.spans.any { it.tokens <= 0 } -> "a span has no tokens"
            sample.spans.sumOf { it.tokens } != sample.tokens -> "the label does not cover all tokens"
            sample.tokens > group.maximumTokens -> "the sample has more tokens than asked for"
            oldest == null -> "the label is empty"
            stalenessBound != null && version - oldest > stalenessBound ->
                "the sample is ${version - oldest} versions old"
            else -> AnswerCheck.problem(group.prompt, sample.text, sample.tokens)
        }
    }

    private fun groupOf(identifier: String): TrainerGroup? {
        val parts = identifier.split('/')
        if (parts.size != IDENTIFIER_PARTS) return null
        val group = groups["${parts[0]}/${parts[1]}"]?.getOrNull(parts[2].toIntOrNull() ?: return null) ?: return null
        return group.takeIf { (parts[3].toIntOrNull() ?: return null) in 0 until it.samples }
    }

    private companion object {
        private const val IDENTIFIER_PARTS = 4
    }
}
