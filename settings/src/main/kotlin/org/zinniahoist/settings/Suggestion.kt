package org.zinniahoist.settings

import org.apache.commons.text.similarity.LevenshteinDistance

/** Largest edit distance at which a known name is suggested; at 4 and more, suggestions are unrelated words. */
private const val MAXIMUM_DISTANCE = 3

private val distance = LevenshteinDistance(MAXIMUM_DISTANCE)

/** Returns the name of [known] that is nearest to [name], or null if none is near. Ties go to the first by name. */
internal fun suggestionFor(name: String, known: Iterable<String>): String? = known
    .map { it to distance.apply(name, it) }
    .filter { it.second >= 0 && it.second < maxOf(name.length, 2) }
    .minWithOrNull(compareBy({ it.second }, { it.first }))
    ?.first
