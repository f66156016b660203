package org.zinniahoist.daemon.entry

import org.zinniahoist.settings.CallerTerms
import org.zinniahoist.settings.EffectiveSettings
import org.zinniahoist.settings.TrainerTerms
import java.security.MessageDigest
import java.util.HexFormat

/** Looks up the terms of a caller or trainer by the bearer token of a request. */
internal object BearerTokens {
    private const val SCHEME = "Bearer "

    fun caller(settings: EffectiveSettings, authorization: String?): CallerTerms? =
        find(settings.callers.values, authorization) { it.tokenHash }

    fun trainer(settings: EffectiveSettings, authorization: String?): TrainerTerms? =
        find(settings.trainers.values, authorization) { it.tokenHash }

    /** Compares the token with every hash, so that the response time does not reveal which one matches. */
    private fun <T> find(all: Collection<T>, authorization: String?, hashOf: (T) -> String?): T? {
        if (authorization == null || !authorization.startsWith(SCHEME, ignoreCase = true)) return null
        val token = authorization.substring(SCHEME.length).trim().toByteArray()
        val hash = MessageDigest.getInstance("SHA-256").digest(token)
        var found: T? = null
        for (terms in all) {
            val expected = hashOf(terms) ?: continue
            if (MessageDigest.isEqual(hash, HexFormat.of().parseHex(expected))) found = terms
        }
        return found
    }
}
