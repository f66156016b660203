package org.zinniahoist.settings

import kotlin.time.Duration

/** Type of a share of a whole. */
internal val SHARE = KeyType.Fraction(0.0, 1.0)

/** Type of a whole number in [range], counted in [unit]. */
internal fun number(range: LongRange, unit: String? = null) = KeyType.WholeNumber(range, unit)

/** Type of a duration from [minimum] to [maximum]. */
internal fun time(minimum: Duration, maximum: Duration) = KeyType.Time(minimum, maximum)
