package org.zinniahoist.settings

/** Location in a settings file. Lines are numbered from 1; line 0 denotes the whole file. */
public data class SourceLocation(
    public val file: String,
    public val line: Int,
) : Comparable<SourceLocation> {
    override fun compareTo(other: SourceLocation): Int = compareValuesBy(this, other, { it.file }, { it.line })

    override fun toString(): String = if (line == 0) file else "$file:$line"
}

/** Error in a settings file, with its location. [toString] returns the message for the operator. */
public sealed interface SettingsError {
    /** Location of the error. */
    public val location: SourceLocation

    /** Text with the value found and the allowed values, without the location. */
    public val message: String

    /** Reading the file failed with an I/O error. */
    public data class Unreadable(
        override val location: SourceLocation,
        public val cause: String,
    ) : SettingsError {
        override val message: String get() = "can't be read: $cause"

        override fun toString(): String = "$location: $message"
    }

    /** The line is not a section header, a key with a value, a comment or blank. */
    public data class MalformedLine(
        override val location: SourceLocation,
        public val found: String,
    ) : SettingsError {
        override val message: String get() = "'$found' is not '[section]', 'key = value' or a comment"

        override fun toString(): String = "$location: $message"
    }

    /** The section is not in the schema. */
    public data class UnknownSection(
        override val location: SourceLocation,
        public val section: String,
        public val allowed: String,
        public val suggestion: String? = null,
    ) : SettingsError {
        override val message: String
            get() = "unknown section [$section]; allowed: $allowed${suggestionText(suggestion)}"

        override fun toString(): String = "$location: $message"
    }

    /** The section occurs more than once. */
    public data class DuplicateSection(
        override val location: SourceLocation,
        public val section: String,
        public val first: SourceLocation,
    ) : SettingsError {
        override val message: String get() = "section [$section] was already given at $first; allowed: once"

        override fun toString(): String = "$location: $message"
    }

    /** The key is not in the schema of its section. */
    public data class UnknownKey(
        override val location: SourceLocation,
        public val key: String,
        public val found: String,
        public val allowed: String,
        public val suggestion: String? = null,
    ) : SettingsError {
        override val message: String
            get() = "unknown key '$key' with value '$found'; allowed: $allowed${suggestionText(suggestion)}"

        override fun toString(): String = "$location: $message"
    }

    /** The key occurs more than once in its section. */
    public data class DuplicateKey(
        override val location: SourceLocation,
        public val key: String,
        public val found: String,
        public val first: SourceLocation,
    ) : SettingsError {
        override val message: String
            get() = "key '$key' with value '$found' was already given at $first; allowed: once"

        override fun toString(): String = "$location: $message"
    }

    /** The value is malformed, out of range or inconsistent with another key. */
    public data class InvalidValue(
        override val location: SourceLocation,
        public val key: String,
        public val found: String,
        public val allowed: String,
    ) : SettingsError {
        override val message: String get() = "key '$key' has value '$found'; allowed: $allowed"

        override fun toString(): String = "$location: $message"
    }

    /** A required key is absent. */
    public data class MissingKey(
        override val location: SourceLocation,
        public val key: String,
        public val allowed: String,
    ) : SettingsError {
        override val message: String get() = "key '$key' is missing; allowed: $allowed"

        override fun toString(): String = "$location: $message"
    }
}

private fun suggestionText(suggestion: String?): String = suggestion?.let { "; did you mean '$it'?" }.orEmpty()
