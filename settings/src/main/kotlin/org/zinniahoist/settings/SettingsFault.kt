package org.zinniahoist.settings

/** Line of a file, counted from 1. Line 0 stands for the whole file. */
public data class Place(
    public val file: String,
    public val line: Int,
) : Comparable<Place> {
    override fun compareTo(other: Place): Int = compareValuesBy(this, other, { it.file }, { it.line })

    override fun toString(): String = if (line == 0) file else "$file:$line"
}

/** A fault in a settings file, with its place. [toString] returns the text for the operator. */
public sealed interface SettingsFault {
    /** Where the fault is. */
    public val place: Place

    /** What was found and what is allowed, without the place. */
    public val message: String

    /** The file can't be read. */
    public data class Unreadable(
        override val place: Place,
        public val cause: String,
    ) : SettingsFault {
        override val message: String get() = "can't be read: $cause"

        override fun toString(): String = "$place: $message"
    }

    /** The line is neither a section, a key with a value, a comment nor empty. */
    public data class MalformedLine(
        override val place: Place,
        public val found: String,
    ) : SettingsFault {
        override val message: String get() = "'$found' is not '[section]', 'key = value' or a comment"

        override fun toString(): String = "$place: $message"
    }

    /** The section is not in the schema. */
    public data class UnknownSection(
        override val place: Place,
        public val section: String,
        public val allowed: String,
        public val suggestion: String? = null,
    ) : SettingsFault {
        override val message: String
            get() = "unknown section [$section]; allowed: $allowed${suggestionText(suggestion)}"

        override fun toString(): String = "$place: $message"
    }

    /** The section occurs twice. */
    public data class DuplicateSection(
        override val place: Place,
        public val section: String,
        public val first: Place,
    ) : SettingsFault {
        override val message: String get() = "section [$section] was already given at $first; allowed: once"

        override fun toString(): String = "$place: $message"
    }

    /** The key is not in the schema of its section. */
    public data class UnknownKey(
        override val place: Place,
        public val key: String,
        public val found: String,
        public val allowed: String,
        public val suggestion: String? = null,
    ) : SettingsFault {
        override val message: String
            get() = "unknown key '$key' with value '$found'; allowed: $allowed${suggestionText(suggestion)}"

        override fun toString(): String = "$place: $message"
    }

    /** The key occurs twice in its section. */
    public data class DuplicateKey(
        override val place: Place,
        public val key: String,
        public val found: String,
        public val first: Place,
    ) : SettingsFault {
        override val message: String
            get() = "key '$key' with value '$found' was already given at $first; allowed: once"

        override fun toString(): String = "$place: $message"
    }

    /** The value does not have the type or range of its key, or contradicts another key. */
    public data class InvalidValue(
        override val place: Place,
        public val key: String,
        public val found: String,
        public val allowed: String,
    ) : SettingsFault {
        override val message: String get() = "key '$key' has value '$found'; allowed: $allowed"

        override fun toString(): String = "$place: $message"
    }

    /** A key that has to be set is absent. */
    public data class MissingKey(
        override val place: Place,
        public val key: String,
        public val allowed: String,
    ) : SettingsFault {
        override val message: String get() = "key '$key' is missing; allowed: $allowed"

        override fun toString(): String = "$place: $message"
    }
}

private fun suggestionText(suggestion: String?): String = suggestion?.let { "; did you mean '$it'?" }.orEmpty()
