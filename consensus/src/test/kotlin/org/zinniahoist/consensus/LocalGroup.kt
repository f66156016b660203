@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package org.zinniahoist.consensus

import arrow.core.getOrElse
import org.zinniahoist.model.InstanceName
import java.nio.ByteBuffer
import java.util.concurrent.ConcurrentHashMap

/** State machine that counts commands and returns the count. */
internal class CountingMachine : StateMachine {
    var count = 0L
        private set

    override fun apply(index: Long, timeMilliseconds: Long, command: ByteArray): ByteArray = encode(++count)

    override fun query(timeMilliseconds: Long, query: ByteArray): ByteArray = encode(count)

    override fun snapshot(): ByteArray = encode(count)

    override fun restore(snapshot: ByteArray) {
        count = decode(snapshot)
    }

    companion object {
        fun encode(value: Long): ByteArray = ByteBuffer.allocate(Long.SIZE_BYTES).putLong(value).array()

        fun decode(bytes: ByteArray): Long = ByteBuffer.wrap(bytes).getLong()
    }
}

/** Runs the hosts of one group in this process. Messages between them are encoded as on a link. */
internal class LocalGroup(
    private val stores: (Int) -> FileStore,
    size: Int,
    private val options: ReplicaOptions,
    private val onFailure: (String) -> Unit = {},
    private val reopens: Boolean = false,
    private val stateMachine: () -> StateMachine = ::CountingMachine,
) {
    private val instances = List(size) { InstanceName("n$it") }
    val hosts = ConcurrentHashMap<InstanceName, GroupHost>()

    init {
        val members = instances.mapIndexed { i, name -> Member(ReplicaAddress(ReplicaIdentifier(i + 1L), name), true) }
        members.forEachIndexed { i, member ->
            stores(i).use { GroupStorage.bootstrap(it, member.address.identifier, Configuration(members), 1) }
        }
        instances.indices.forEach(::start)
    }

    fun start(number: Int): GroupHost {
        val identifier = ReplicaIdentifier(100L + number)
        val opened = GroupStorage.open(stores(number), identifier).getOrElse { error(it.message) }
        val name = instances[number]
        val reopen: FolderOpener = { GroupStorage.open(stores(number), identifier, isAfterFailure = true) }
        val host = GroupHost(
            "test",
            name,
            stateMachine(),
            opened,
            ::deliver,
            options,
            reopen = reopen.takeIf { reopens },
            onFailure = onFailure,
        )
        hosts[name] = host
        return host
    }

    private fun deliver(to: InstanceName, message: ReplicaMessage) {
        val bytes = FrameCodec.cbor.encodeToByteArray(ReplicaMessage.serializer(), message)
        hosts[to]?.receive(FrameCodec.cbor.decodeFromByteArray(ReplicaMessage.serializer(), bytes))
    }

    fun awaitLeader(): GroupHost {
        while (true) {
            hosts.values.find { it.status.isLeader }?.let { return it }
            Thread.sleep(1)
        }
    }

    fun stop(host: GroupHost) {
        hosts.values.remove(host)
        host.close()
    }

    fun close() = hosts.values.forEach { it.close() }
}
