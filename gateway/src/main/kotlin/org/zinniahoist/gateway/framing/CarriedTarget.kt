package org.zinniahoist.gateway.framing

import org.zinniahoist.model.RequestTarget
import java.util.Base64

/**
 * Form in which a request target passes the HTTP library, which rewrites targets for its own routing: it decodes
 * escapes, joins empty segments, removes parameters of segments, and refuses dot segments.
 *
 * The path `/` followed by the Base64 form of the target has nothing to rewrite. No field of a request can be taken for
 * it, because every path that the library sees is written by this process.
 */
internal object CarriedTarget {
    private const val REFUSAL_PREFIX = "/~"
    private val encoder = Base64.getUrlEncoder().withoutPadding()
    private val decoder = Base64.getUrlDecoder()

    /** Returns the path that carries [target]. */
    fun pathOf(target: String): String = "/" + encoder.encodeToString(target.toByteArray(Charsets.ISO_8859_1))

    /** Returns the path of a request in place of one that is to be answered with [status]. */
    fun refusalPath(status: Int): String = REFUSAL_PREFIX + status

    /** Returns the status if [path] comes from [refusalPath], or null if it carries a target. */
    fun refusalOf(path: String): Int? =
        if (path.startsWith(REFUSAL_PREFIX)) path.removePrefix(REFUSAL_PREFIX).toIntOrNull() else null

    /** Returns the target that [path] carries, or null if it carries none. */
    fun targetOf(path: String): String? = try {
        String(decoder.decode(path.drop(1)), Charsets.ISO_8859_1).takeIf(RequestTarget::isValid)
    } catch (_: IllegalArgumentException) {
        null
    }
}
