package org.zinniahoist.gateway.entry

/** Label of this outcome in metrics. */
internal val Forwarded.label: String
    get() = when (this) {
        is Forwarded.Answer -> "answered"
        is Forwarded.NotRun -> "not_run"
        is Forwarded.NotAdmitted -> "not_admitted"
        is Forwarded.Blocked -> "blocked"
        is Forwarded.NoAnswer -> "no_answer"
    }

/** This outcome as the log shows it. */
internal val Forwarded.logText: String
    get() = when (this) {
        is Forwarded.Answer -> answer.status.toString()
        is Forwarded.NotRun -> "not-run reason=\"$reason\""
        is Forwarded.NotAdmitted -> "not-admitted expected-wait=$expectedWait"
        is Forwarded.Blocked -> "blocked reason=\"$reason\""
        is Forwarded.NoAnswer -> "no-answer reason=\"$reason\""
    }
