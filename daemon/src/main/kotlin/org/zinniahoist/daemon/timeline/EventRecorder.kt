package org.zinniahoist.daemon.timeline

/** Records the events of a daemon for the log and the time line. */
public fun interface EventRecorder {
    /**
     * Records an event named [name] with [fields], such as `request`, `attempt`, `sample`, `step`, `revision` and
     * `trace`. Values of tokens and keys of callers must not be among them.
     */
    public fun record(name: String, fields: Map<String, Any?>)
}

/** Records an event with [fields] given as pairs. */
public fun EventRecorder.record(name: String, vararg fields: Pair<String, Any?>): Unit = record(name, fields.toMap())
