package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.RequestHeaders
import org.zinniahoist.gateway.dialect.HeaderNames
import org.zinniahoist.model.WorkspaceName
import org.zinniahoist.policy.routes.RouteTable
import org.zinniahoist.wire.JobAccess

/** Who sends a request, according to its key and one configuration. */
internal sealed interface Caller {
    /** The configuration has no workspaces, so keys have no meaning. */
    data object Unrestricted : Caller

    /** The request has no key. */
    data object Anonymous : Caller

    /** The request has a key that belongs to no workspace, or several keys. */
    data object Unknown : Caller

    /** The request has a key of [workspace]. */
    data class Member(val workspace: WorkspaceName) : Caller

    /** True if requests that need a key are served. */
    val isAuthenticated: Boolean get() = this is Unrestricted || this is Member

    /** Returns the jobs that the caller may access, or null if its key is unknown. */
    fun jobAccess(): JobAccess? = when (this) {
        is Unrestricted -> JobAccess.Unrestricted
        is Anonymous -> JobAccess.Anonymous
        is Unknown -> null
        is Member -> JobAccess.Member(workspace)
    }
}

/** Reads the keys of requests, and replaces them by the workspace's name before a request is forwarded. */
internal class CallerAuthentication(private val names: HeaderNames) {
    /** Returns the caller of the request with [headers] by the keys of [table]. */
    fun callerOf(headers: RequestHeaders, table: RouteTable): Caller {
        if (!table.hasWorkspaces) return Caller.Unrestricted
        val credentials = headers.getAll(HttpHeaderNames.AUTHORIZATION)
        if (credentials.isEmpty()) return Caller.Anonymous
        val key = credentials.singleOrNull()?.let(::bearerKey)
        return key?.let(table::workspaceOf)?.let { Caller.Member(it) } ?: Caller.Unknown
    }

    private fun bearerKey(credentials: String): String? {
        val scheme = credentials.trim().substringBefore(' ')
        val key = credentials.trim().substringAfter(' ', "").trim()
        return key.takeIf { it.isNotEmpty() && scheme.equals(SCHEME, ignoreCase = true) }
    }

    /** Returns [headers] for an upstream: without the key, and with the workspace of [caller] in place of any other. */
    fun forwardedHeaders(headers: RequestHeaders, caller: Caller): RequestHeaders {
        if (caller is Caller.Unrestricted) return headers
        val builder = headers.toBuilder()
        builder.remove(HttpHeaderNames.AUTHORIZATION)
        builder.remove(names.workspace)
        if (caller is Caller.Member) builder.set(names.workspace, caller.workspace.value)
        return builder.build()
    }

    private companion object {
        const val SCHEME = "Bearer"
    }
}
