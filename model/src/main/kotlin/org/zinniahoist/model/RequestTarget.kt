package org.zinniahoist.model

/** Syntax of the target of an HTTP request: its path, with the query if there is one, as the client wrote it. */
public object RequestTarget {
    /**
     * Returns true if [target] can be passed on byte for byte: an absolute path of visible ASCII characters without a
     * fragment, in which each percent sign begins an escape.
     */
    public fun isValid(target: String): Boolean =
        target.startsWith('/') && target.all { it in VISIBLE_CHARACTERS && it != '#' } && areEscapesComplete(target)

    /**
     * Returns the path of [target], by which its route is found: all before the first question mark. Escapes, empty and
     * dot segments stay as they are, so no target reaches a route whose prefix it does not begin with.
     */
    public fun pathOf(target: String): String = target.substringBefore('?')

    /** Returns the query of [target], or null if it has none or an empty one. */
    public fun queryOf(target: String): String? = target.substringAfter('?', "").ifEmpty { null }

    private fun areEscapesComplete(target: String): Boolean {
        var position = target.indexOf('%')
        while (position >= 0) {
            val digits = target.substring(position + 1, minOf(position + 1 + ESCAPE_DIGITS, target.length))
            if (digits.length < ESCAPE_DIGITS || !digits.all { it.isHexDigit() }) return false
            position = target.indexOf('%', position + 1)
        }
        return true
    }

    private fun Char.isHexDigit(): Boolean = this in '0'..'9' || this in 'a'..'f' || this in 'A'..'F'

    private val VISIBLE_CHARACTERS = '!'..'~'
    private const val ESCAPE_DIGITS = 2
}
