package org.zinniahoist.consensus

/** Reason for which the folder of a replica can't be used. */
public sealed interface StorageError {
    /** Single-line message for operators. */
    public val message: String

    /** [file] is damaged at byte [offset], and not by a torn write at the end of the log. */
    public data class Corrupt(
        public val file: String,
        public val offset: Long,
        public val reason: String,
    ) : StorageError {
        override val message: String get() = "corrupt file=$file offset=$offset reason=\"$reason\""
    }

    /** The disk failed or is full. Unsynced writes may be lost. */
    public data class Failed(
        public val location: String,
        public val cause: Exception,
    ) : StorageError {
        override val message: String get() = "disk failed location=$location cause=\"$cause\""
    }

    /** The folder already contains files, as of a replica. */
    public data class NotEmpty(public val location: String) : StorageError {
        override val message: String get() = "folder is not empty location=$location"
    }
}
