package org.zinniahoist.settings

import org.apache.commons.text.similarity.LevenshteinDistance

/** Maximum edit distance of a suggestion; a distance of 4 or more yields unrelated words. */
private const val MAXIMUM_DISTANCE = 3

private val distance = LevenshteinDistance(MAXIMUM_DISTANCE)

/**
 * Returns the name in [known] with the smallest edit distance to [name], or null if none is within the maximum.
 *
 * Ties are broken alphabetically.
 */
internal fun suggestionFor(name: String, known: Iterable<String>): String? = known
    .map { it to distance.apply(name, it) }
    .filter { it.second >= 0 && it.second < maxOf(name.length, 2) }
    .minWithOrNull(compareBy({ it.second }, { it.first }))
    ?.first
