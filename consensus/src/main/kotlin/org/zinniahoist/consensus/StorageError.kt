package org.zinniahoist.consensus

/** Why a folder of a replica can't be used. */
public sealed interface StorageError {
    /** One line for operators. */
    public val message: String

    /** The bytes at [offset] of [file] are damaged and are not the torn end of the log. */
    public data class Corrupt(
        public val file: String,
        public val offset: Long,
        public val reason: String,
    ) : StorageError {
        override val message: String get() = "corrupt file=$file offset=$offset reason=\"$reason\""
    }

    /** The disk failed or is full. What was not synced before may be lost. */
    public data class Failed(
        public val location: String,
        public val cause: Exception,
    ) : StorageError {
        override val message: String get() = "disk failed location=$location cause=\"$cause\""
    }

    /** The folder already holds a replica. */
    public data class NotEmpty(public val location: String) : StorageError {
        override val message: String get() = "folder is not empty location=$location"
    }
}
