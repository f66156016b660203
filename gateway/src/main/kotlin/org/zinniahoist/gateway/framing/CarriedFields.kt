package org.zinniahoist.gateway.framing

/**
 * Names under which fields pass the HTTP library that it would otherwise change: it splits and joins the values of
 * `cookie`, and drops fields that it uses for HTTP/2.
 *
 * A field of the client with such a name is carried in the same way, so that names can't collide.
 */
internal object CarriedFields {
    private const val PREFIX = "carried-"
    private const val HTTP2_PREFIX = "x-http2-"
    private const val COOKIE = "cookie"

    /** Returns the name, in lower case, under which the field [name] passes the library. */
    fun carriedName(name: String): String {
        val key = name.lowercase()
        val isChanged = key == COOKIE || key.startsWith(HTTP2_PREFIX) || key.startsWith(PREFIX)
        return if (isChanged) PREFIX + key else key
    }

    /** Returns true if [name] is one that only [carriedName] gives. */
    fun isCarried(name: CharSequence): Boolean = name.startsWith(PREFIX)

    /** Returns the name of which [carried] is the [carriedName]. */
    fun originalName(carried: String): String = carried.removePrefix(PREFIX)
}
