package org.zinniahoist.gateway.framing

/** How the end of the body of a message is found. */
internal sealed interface BodyFraming {
    /** The head states no length and no coding: a request, or a response without a body, ends here. */
    data object Unstated : BodyFraming

    data class Length(val bytes: Long) : BodyFraming

    data object Chunked : BodyFraming

    /** The body of a response ends with its connection. */
    data object UntilClose : BodyFraming

    companion object {
        private const val CHUNKED = "chunked"

        /** Enough for all lengths that fit into a [Long]. */
        private const val MAXIMUM_DIGITS = 18

        /**
         * Returns the framing that [head] states.
         *
         * @throws MessageFaultException if it states several, or one that is not known.
         */
        fun of(head: MessageHead): BodyFraming {
            val codings = head.valuesOf("transfer-encoding")
            val lengths = head.valuesOf("content-length")
            return when {
                codings.isNotEmpty() && lengths.isNotEmpty() -> throw MessageFaultException(
                    MessageFault.LENGTH_AND_CODING,
                )
                codings.isNotEmpty() -> chunked(codings)
                lengths.isNotEmpty() -> Length(lengthOf(lengths))
                else -> Unstated
            }
        }

        private fun chunked(codings: List<String>): BodyFraming {
            val isKnown = codings.singleOrNull().equals(CHUNKED, ignoreCase = true)
            return if (isKnown) Chunked else throw MessageFaultException(MessageFault.CODING)
        }

        private fun lengthOf(lengths: List<String>): Long {
            val length = lengths.singleOrNull()?.takeIf { it.length in 1..MAXIMUM_DIGITS && it.all(::isDigit) }
            return length?.toLong() ?: throw MessageFaultException(MessageFault.LENGTH)
        }

        private fun isDigit(character: Char): Boolean = character in '0'..'9'
    }
}
