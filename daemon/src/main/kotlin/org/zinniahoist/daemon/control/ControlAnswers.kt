package org.zinniahoist.daemon.control

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.zinniahoist.state.report.ProblemReport
import java.security.MessageDigest
import java.util.HexFormat

/** Unknown keys of a request are refused: an edit must not lose what a newer tool put into it. */
internal val CONTROL_JSON: Json = Json { encodeDefaults = true }

/** Ends a request of an operator with a problem document. */
internal class Rejection(
    val status: HttpStatus,
    detail: String,
    val mayHaveRun: Boolean = false,
    cause: Throwable? = null,
) : Exception(detail, cause)

internal fun <T> json(serializer: KSerializer<T>, value: T, status: HttpStatus = HttpStatus.OK): HttpResponse =
    HttpResponse.of(status, MediaType.JSON_UTF_8, CONTROL_JSON.encodeToString(serializer, value))

internal fun problem(rejection: Rejection): HttpResponse {
    val status = rejection.status
    val verdict = if (rejection.mayHaveRun) ProblemReport.MAY_HAVE_RUN else ProblemReport.NOT_RUN
    val problem = ProblemReport(status.reasonPhrase().lowercase(), status.code(), rejection.message.orEmpty(), verdict)
    val headers = ResponseHeaders.builder(status).add(HttpHeaderNames.CONTENT_TYPE, ProblemReport.MEDIA_TYPE)
    if (status == HttpStatus.UNAUTHORIZED) headers.add(HttpHeaderNames.WWW_AUTHENTICATE, "Bearer")
    if (status == HttpStatus.SERVICE_UNAVAILABLE) headers.add(HttpHeaderNames.RETRY_AFTER, "1")
    val body = CONTROL_JSON.encodeToString(ProblemReport.serializer(), problem)
    return HttpResponse.of(headers.build(), HttpData.ofUtf8(body))
}

/** Compares with every hash, so that the time tells nothing about the one that matches. */
internal fun findOperator(operators: Map<String, OperatorAccess>, authorization: String?): OperatorAccess? {
    if (authorization == null || !authorization.startsWith(SCHEME, ignoreCase = true)) return null
    val token = authorization.substring(SCHEME.length).trim().toByteArray()
    val hash = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(token)).toByteArray()
    return operators.entries.filter { MessageDigest.isEqual(hash, it.key.toByteArray()) }.firstOrNull()?.value
}

private const val SCHEME = "Bearer "
