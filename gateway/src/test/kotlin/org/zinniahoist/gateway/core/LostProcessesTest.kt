package org.zinniahoist.gateway.core

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.zinniahoist.gateway.dialect.OutboundPaths
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.gateway.link.PeerLinks
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Region
import org.zinniahoist.model.Role
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.wire.LinkCloseCause
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.LinkHandler
import org.zinniahoist.wire.LinkLimits
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.Message
import org.zinniahoist.wire.ReportedCompletion
import org.zinniahoist.wire.ReportedCrash
import org.zinniahoist.wire.ServiceCall
import org.zinniahoist.wire.ServiceMessage
import org.zinniahoist.wire.ServiceReply
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests what a core still knows of crashes of upstreams when it and all entries were lost at the same time. */
internal class LostProcessesTest {
    @TempDir
    lateinit var folder: Path

    private val operators = Endpoint(SingleCore.HOST, SingleCore.freePort())
    private val linkPort = SingleCore.freePort()

    private val dialect = object : PlatformDialect by StubDialect() {
        override val paths = object : OutboundPaths {
            override val report = StubDialect.REPORT
            override val order = StubDialect.ORDER

            override fun list(token: String?): String = "/list"
        }
    }

    private fun now() = Moment(System.nanoTime())

    /** An entry that reports what it is told to and records the crashes that it learns of. */
    private inner class ReportingEntry :
        LinkHandler,
        AutoCloseable {
        private val core = InstanceName("${SingleCore.HOST}:$linkPort")
        private val links = PeerLinks(
            LinkMessage.Hello(
                LinkLimits.PROTOCOL_VERSION,
                InstanceName("entry"),
                Incarnation(1),
                FailureDomain("a", Region("r")),
                setOf(Role.ENTRY),
            ),
            this,
            ::now,
        ).also { it.keep(setOf(core)) }

        private val learned = ConcurrentHashMap<Long, Set<String>>()

        /** Crashed upstreams by request, as known when the configuration arrives that an entry begins to serve with. */
        val learnedAtStart = CompletableFuture<Map<Long, Set<String>>>()

        fun report(crashes: List<ReportedCrash>, completions: List<ReportedCompletion> = emptyList()) {
            eventually { links.link(core) != null }
            checkNotNull(links.link(core)).offer(ServiceMessage.Crashes(crashes, completions))
        }

        override fun onOpen(link: LinkConnection) = askForConfiguration(link)

        private fun askForConfiguration(link: LinkConnection) {
            link.offer(ServiceMessage.Call(identifier = 1, ServiceCall.NewestConfiguration))
        }

        override suspend fun onMessage(link: LinkConnection, message: Message) {
            when (message) {
                is ServiceMessage.Crashes -> message.crashes.forEach {
                    learned.merge(it.fingerprint, setOf(it.upstream.value), Set<String>::plus)
                }

                is ServiceMessage.Reply -> when (message.reply) {
                    is ServiceReply.NotFound -> learnedAtStart.complete(learned.toMap())
                    else -> askForConfiguration(link)
                }

                else -> Unit
            }
        }

        override fun onClosed(link: LinkConnection, cause: LinkCloseCause) = Unit

        override fun close() = links.close()
    }

    private fun eventually(condition: () -> Boolean) {
        val end = System.nanoTime() + BOUND.inWholeNanoseconds
        while (!condition() && System.nanoTime() < end) Thread.sleep(PAUSE.inWholeMilliseconds)
    }

    private fun <T> withCore(action: () -> T): T {
        val core = CoreProcess(SingleCore.settings(folder, operators, linkPort), dialect, ::now, ::error)
        core.start()
        return try {
            action()
        } finally {
            core.stop()
        }
    }

    private fun crash(fingerprint: Long, upstream: String) =
        ReportedCrash(fingerprint, UpstreamIdentity(upstream), ageMilliseconds = 0)

    /** Guards against a request that crashes as many upstreams again after each common failure of all processes. */
    @Test
    fun `crashes of upstreams are known again, but for requests that have completed since`() {
        withCore {
            ReportingEntry().use { entry ->
                entry.report(listOf("a", "b", "c").map { crash(CRASHING, it) } + crash(SOUND, "a"))
                Thread.sleep(RECORDING_TIME.inWholeMilliseconds)
                entry.report(emptyList(), listOf(ReportedCompletion(SOUND, 0)))
                Thread.sleep(RECORDING_TIME.inWholeMilliseconds)
            }
        }
        withCore {
            ReportingEntry().use { entry ->
                val learned = entry.learnedAtStart.get(BOUND.inWholeSeconds, TimeUnit.SECONDS)
                expectThat(learned).isEqualTo(mapOf(CRASHING to setOf("a", "b", "c")))
            }
        }
    }

    private companion object {
        const val CRASHING = 7L
        const val SOUND = 8L
        val BOUND = 10.seconds
        val PAUSE = 20.milliseconds

        /** Longer than a leader needs to be elected and to record what it learns, which takes up to a second. */
        val RECORDING_TIME = 3.seconds
    }
}
