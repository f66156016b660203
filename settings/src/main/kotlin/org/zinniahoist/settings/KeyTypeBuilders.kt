package org.zinniahoist.settings

import kotlin.time.Duration

/** Type of a ratio from 0 to 1. */
internal val SHARE = KeyType.Fraction(0.0, 1.0)

/** Returns the type of a whole number in [range], measured in [unit]. */
internal fun number(range: LongRange, unit: String? = null) = KeyType.WholeNumber(range, unit)

/** Returns the type of a duration from [minimum] to [maximum]. */
internal fun time(minimum: Duration, maximum: Duration) = KeyType.Time(minimum, maximum)
