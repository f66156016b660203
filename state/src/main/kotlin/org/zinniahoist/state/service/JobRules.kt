package org.zinniahoist.state.service

import org.zinniahoist.model.FieldSyntax
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.RequestTarget

/**
 * Part of a job that can't be sent as it stands.
 *
 * @property position position of the item from 0, or null if the fault is in the job itself.
 * @property part name of the malformed part.
 */
public data class JobFault(
    public val position: Int?,
    public val part: String,
) {
    override fun toString(): String = if (position == null) "malformed $part" else "item $position: malformed $part"
}

/** Checks that each item of a job can be sent to an upstream as it stands, so that no accepted job waits for ever. */
public object JobRules {
    private const val MAXIMUM_IDENTIFIER_LENGTH = 256

    /** Most bytes of the target and the fields of an item; as much as a client may send in the head of a request. */
    private const val MAXIMUM_HEAD_BYTES = 256 shl 10
    private val VISIBLE_CHARACTERS = '!'..'~'

    /** Returns the first fault of [job], or null if it has none. */
    public fun faultOf(job: BatchJob): JobFault? {
        if (!isIdentifier(job.identifier.value)) return JobFault(null, "identifier")
        if (job.step?.let(::isValid) == false) return JobFault(null, "step")
        val identifiers = HashSet<RequestIdentifier>()
        job.items.forEachIndexed { position, item ->
            val part = if (identifiers.add(item.identifier)) malformedPartOf(item) else "identifier, which is repeated"
            if (part != null) return JobFault(position, part)
        }
        return null
    }

    private fun isValid(terms: StepTerms): Boolean =
        terms.step >= 0 && terms.minimumVersion.number >= 0 && terms.wantedGroups >= 0

    private fun malformedPartOf(item: BatchItem): String? = when {
        !isIdentifier(item.identifier.value) -> "identifier"
        !RequestTarget.isValid(item.path) -> "path"
        !item.headers.all { FieldSyntax.isName(it.name) } -> "header name"
        !item.headers.all { FieldSyntax.isValue(it.value) } -> "header value"
        item.reward?.let { RequestTarget.isValid(it.path) } == false -> "path of its reward request"
        headBytes(item) > MAXIMUM_HEAD_BYTES -> "header fields, which are too long"
        item.tokens < 0 -> "number of tokens"
        else -> null
    }

    private fun isIdentifier(text: String): Boolean =
        text.length in 1..MAXIMUM_IDENTIFIER_LENGTH && text.all { it in VISIBLE_CHARACTERS }

    private fun headBytes(item: BatchItem): Int =
        item.path.length + item.headers.sumOf { it.name.length + it.value.toByteArray().size }
}
