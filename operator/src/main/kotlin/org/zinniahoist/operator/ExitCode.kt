package org.zinniahoist.operator

/** Exit codes of `zinniahoistctl`. */
public enum class ExitCode(public val number: Int) {
    SUCCESS(0),

    /** Control refused the request, or another edit came first. */
    REFUSED(1),

    /** The command line is wrong. */
    USAGE(2),

    /** Control could not be reached, or it is unknown whether the request had its effect. */
    UNAVAILABLE(3),

    /** A file given to the command is invalid. */
    INVALID_FILE(4),
}

/** Why a command failed; [message] is the text for the operator. */
internal data class CommandFailure(
    val exitCode: ExitCode,
    val message: String,
) {
    companion object {
        fun refused(message: String) = CommandFailure(ExitCode.REFUSED, message)

        fun usage(message: String) = CommandFailure(ExitCode.USAGE, message)

        fun unavailable(message: String) = CommandFailure(ExitCode.UNAVAILABLE, message)

        fun invalidFile(message: String) = CommandFailure(ExitCode.INVALID_FILE, message)
    }
}
