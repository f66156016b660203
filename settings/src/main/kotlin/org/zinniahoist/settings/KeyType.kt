package org.zinniahoist.settings

import org.zinniahoist.model.BranchName
import org.zinniahoist.model.Endpoint
import kotlin.time.Duration

/** Type of a setting: parses, renders and describes its values. */
public sealed interface KeyType<T : Any> {
    /** Name of the type in the generated reference. */
    public val label: String

    /** Unit of the value, or null if it has none. */
    public val unit: String?

    /** Description of the allowed values, such as `a whole number from 1 to 8`. */
    public val allowed: String

    /** Parses [text]; returns null if it is malformed or out of range. */
    public fun parse(text: String): T?

    /** Returns the canonical text of [value], which [parse] maps back to an equal value. */
    public fun render(value: T): String = value.toString()

    /** A whole number within [range]. */
    public data class WholeNumber(
        public val range: LongRange,
        override val unit: String? = null,
    ) : KeyType<Long> {
        override val label: String get() = "whole number"
        override val allowed: String get() = "a whole number from ${range.first} to ${range.last}"

        override fun parse(text: String): Long? = text.toLongOrNull()?.takeIf { it in range }
    }

    /** A decimal number from [minimum] to [maximum]. */
    public data class Fraction(
        public val minimum: Double,
        public val maximum: Double,
    ) : KeyType<Double> {
        override val label: String get() = "decimal number"
        override val unit: String? get() = null
        override val allowed: String get() = "a decimal number from $minimum to $maximum"

        override fun parse(text: String): Double? = text
            .takeIf { DECIMAL.matches(it) }
            ?.toDouble()
            ?.takeIf { it in minimum..maximum }

        private companion object {
            private val DECIMAL = Regex("[0-9]+(\\.[0-9]+)?(E-?[0-9]+)?")
        }
    }

    /** A boolean, written `true` or `false`. */
    public data object Switch : KeyType<Boolean> {
        override val label: String get() = "switch"
        override val unit: String? get() = null
        override val allowed: String get() = "true or false"

        override fun parse(text: String): Boolean? = text.toBooleanStrictOrNull()
    }

    /** A duration with its unit, such as `500ms`, `10s` or `1m 30s`. */
    public data class Time(
        public val minimum: Duration,
        public val maximum: Duration,
    ) : KeyType<Duration> {
        override val label: String get() = "duration"
        override val unit: String get() = "written with the value: ms, s, m, h, d"
        override val allowed: String get() = "a duration from $minimum to $maximum, such as ${example()}"

        override fun parse(text: String): Duration? = Duration.parseOrNull(text)?.takeIf { it in minimum..maximum }

        private fun example(): String = if (minimum.isPositive()) "$minimum" else "$maximum"
    }

    /** A size in bytes, such as `512`, `64KiB` or `4MiB`. */
    public data class Size(
        public val minimum: Long,
        public val maximum: Long,
    ) : KeyType<Long> {
        override val label: String get() = "size"
        override val unit: String get() = "written with the value: none for bytes, KiB, MiB, GiB"
        override val allowed: String get() = "a size from ${render(minimum)} to ${render(maximum)}, such as 64KiB"

        override fun parse(text: String): Long? {
            val match = PATTERN.matchEntire(text) ?: return null
            val number = match.groupValues[1].toLongOrNull() ?: return null
            val factor = BYTES_PER_UNIT.getValue(match.groupValues[2])
            return if (number > maximum / factor) null else (number * factor).takeIf { it in minimum..maximum }
        }

        override fun render(value: Long): String {
            val (suffix, factor) =
                BYTES_PER_UNIT.entries.last { value % it.value == 0L && (value > 0 || it.value == 1L) }
            return "${value / factor}$suffix"
        }

        private companion object {
            private val PATTERN = Regex("([0-9]{1,18})(KiB|MiB|GiB|)")
            private val BYTES_PER_UNIT = mapOf("" to 1L, "KiB" to 1L.shl(10), "MiB" to 1L.shl(20), "GiB" to 1L.shl(30))
        }
    }

    /** A name of at most 63 lower-case letters, digits, `-` and `_`. */
    public data object Name : KeyType<String> {
        override val label: String get() = "name"
        override val unit: String? get() = null
        override val allowed: String get() = "a name of at most 63 lower-case letters, digits, '-' and '_'"
        private val pattern = Regex("[a-z0-9][a-z0-9_-]{0,62}")

        override fun parse(text: String): String? = text.takeIf { pattern.matches(it) }
    }

    /** The name of a branch of the settings tree. */
    public data object Branch : KeyType<BranchName> {
        override val label: String get() = "branch"
        override val unit: String? get() = null
        override val allowed: String get() = BRANCH_NAME_FORMAT

        override fun parse(text: String): BranchName? = BranchName(text).takeIf { it.isValid() }

        override fun render(value: BranchName): String = value.value
    }

    /** A comma-separated set of distinct names; their order is not significant. */
    public data object NameSet : KeyType<Set<String>> {
        override val label: String get() = "names"
        override val unit: String? get() = null
        override val allowed: String get() = "different names separated by commas, each ${Name.allowed}"

        override fun parse(text: String): Set<String>? {
            if (text.isEmpty()) return emptySet()
            val names = text.split(',').map { Name.parse(it.trim()) ?: return null }
            return names.toSet().takeIf { it.size == names.size }
        }

        override fun render(value: Set<String>): String = value.sorted().joinToString(", ")
    }

    /** An enumeration whose values are [options]. */
    public data class Choice(public val options: List<String>) : KeyType<String> {
        override val label: String get() = "choice"
        override val unit: String? get() = null
        override val allowed: String get() = "one of ${options.joinToString(", ")}"

        override fun parse(text: String): String? = text.takeIf { it in options }
    }

    /** An IP address and a TCP port. */
    public data object Address : KeyType<Endpoint> {
        override val label: String get() = "address"
        override val unit: String? get() = null
        override val allowed: String get() = "host:port with a port from 1 to 65535"

        override fun parse(text: String): Endpoint? = Endpoint.parse(text)?.takeIf { HostName.parse(it.host) != null }
    }

    /** An IP address or host name. */
    public data object HostName : KeyType<String> {
        override val label: String get() = "host"
        override val unit: String? get() = null
        override val allowed: String get() = "an IP address or host name"
        private val pattern = Regex("[A-Za-z0-9.-]+|\\[?[0-9A-Fa-f:.]+]?")

        override fun parse(text: String): String? = text.takeIf { pattern.matches(it) }
    }

    /** A file system path. */
    public data object FilePath : KeyType<String> {
        override val label: String get() = "path"
        override val unit: String? get() = null
        override val allowed: String get() = "a path that is not empty"

        override fun parse(text: String): String? = text.takeIf { it.isNotBlank() }
    }

    /** A SHA-256 digest in lower-case hexadecimal digits. */
    public data object Digest : KeyType<String> {
        override val label: String get() = "SHA-256 digest"
        override val unit: String? get() = null
        override val allowed: String get() = "64 lower-case hexadecimal digits (SHA-256)"
        private val pattern = Regex("[0-9a-f]{64}")

        override fun parse(text: String): String? = text.takeIf { pattern.matches(it) }
    }
}

/** Returns the canonical form of [text], or null if [text] is malformed or out of range. */
internal fun <T : Any> KeyType<T>.canonical(text: String): String? = parse(text)?.let { render(it) }
