package org.zinniahoist.policy.poison

import com.dynatrace.hash4j.hashing.Hashing

/** Computes the fingerprint that a request has in common with its retries by any client and through any process. */
public object RequestFingerprint {
    /**
     * Hashes the parts of a request that a retry repeats; [body] may be in other pieces each time. Identifiers and
     * deadlines differ between retries.
     */
    public fun of(
        method: String,
        authority: String,
        target: String,
        body: List<ByteArray>,
    ): Fingerprint {
        val stream = Hashing.xxh3_64().hashStream()
        stream.putString(method)
        stream.putString(authority)
        stream.putString(target)
        body.forEach(stream::putBytes)
        return Fingerprint(stream.asLong)
    }
}
