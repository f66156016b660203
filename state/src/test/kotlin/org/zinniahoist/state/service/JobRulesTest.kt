package org.zinniahoist.state.service

import org.junit.jupiter.api.Test
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.WeightVersion
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Tests which jobs are refused because an item could never be sent. */
internal class JobRulesTest {
    private fun item(
        identifier: String = "a",
        path: String = "/s/",
        headers: List<HeaderField> = emptyList(),
        tokens: Int = 0,
    ) = BatchItem(RequestIdentifier(identifier), path, headers, ByteArray(0), tokens)

    private fun job(vararg items: BatchItem, step: StepTerms? = null) =
        BatchJob(JobIdentifier("j"), "h", "/s/", items.toList(), step)

    private fun partOf(item: BatchItem): String? =
        JobRules.faultOf(job(item("first"), item))?.also { expectThat(it.position).isEqualTo(1) }?.part

    private fun partOf(name: String, value: String): String? = partOf(item(headers = listOf(HeaderField(name, value))))

    /** Guards against an accepted job that waits for ever for an item that can't be sent. */
    @Test
    fun `an item that can't be sent is named with its position`() {
        for (path in listOf("", "s/", "/s/ HTTP/1.1", "/s/%", "/s#1", "/s/\u00e9", "/s/\r\nx: y")) {
            expectThat(partOf(item(path = path))).isEqualTo("path")
        }
        for (name in listOf("", "x a", "x\r\ny", ":path", "x:", "\u00e9", "x\t")) {
            expectThat(partOf(name, "v")).isEqualTo("header name")
        }
        for (value in listOf("a\nb", "a\rb", "\u0000", "\u000b", "\u007f")) {
            expectThat(partOf("x", value)).isEqualTo("header value")
        }
        for (identifier in listOf("", "a b", "a\n", "\u00e9", "a".repeat(257))) {
            expectThat(partOf(item(identifier))).isEqualTo("identifier")
        }
        expectThat(partOf(item(tokens = -1))).isEqualTo("number of tokens")
        expectThat(partOf("x", "a".repeat(256 shl 10))).isEqualTo("header fields, which are too long")
    }

    /** Guards against a job that never completes, because the second item of a name has no result of its own. */
    @Test
    fun `an identifier that is repeated is refused`() {
        val fault = JobRules.faultOf(job(item("a"), item("b"), item("a")))
        expectThat(fault).isEqualTo(JobFault(2, "identifier, which is repeated"))
    }

    /** Guards against terms that no version and no number of groups can meet. */
    @Test
    fun `negative terms are refused`() {
        val terms = StepTerms(step = 0, ModelName("m"), WeightVersion(1), wantedGroups = 1)
        expectThat(JobRules.faultOf(job(step = terms))).isNull()
        val negative = listOf(terms.copy(step = -1), terms.copy(wantedGroups = -1))
        expectThat(negative.map { JobRules.faultOf(job(step = it)) }).isEqualTo(List(2) { JobFault(null, "step") })
    }

    /** Guards against refusing fields that HTTP allows. */
    @Test
    fun `odd but legal items are accepted`() {
        val fields = listOf("X-Odd_name!" to "a;b,,\"c\\", "x" to "", "y" to "\u00e9\u20ac").map {
            HeaderField(it.first, it.second)
        }
        expectThat(JobRules.faultOf(job(item(path = "/s//%2F;q?", headers = fields)))).isNull()
        expectThat(JobRules.faultOf(job())).isNull()
    }
}
