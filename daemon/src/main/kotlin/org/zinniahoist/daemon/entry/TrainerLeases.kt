package org.zinniahoist.daemon.entry

import arrow.core.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.zinniahoist.daemon.configuration.ActiveSettings
import org.zinniahoist.daemon.timeline.record
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.Region
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.TrainerName
import org.zinniahoist.model.TrainingContract
import org.zinniahoist.state.ledger.LedgerAnswer
import org.zinniahoist.state.ledger.LedgerCommand
import org.zinniahoist.state.ledger.LedgerQuery
import org.zinniahoist.state.samples.LeaseResult
import org.zinniahoist.wire.PeerMessage
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Acquires and renews trainer leases, and forwards requests to the entries that hold the leases of other trainers. */
internal class TrainerLeases(
    private val self: InstanceName,
    private val region: Region,
    private val inForce: ActiveSettings,
    private val context: SamplingContext,
    private val peers: PeerClient,
    private val scope: CoroutineScope,
) {
    private val samplers = ConcurrentHashMap<TrainerName, TrainerSampler>()
    private val locks = ConcurrentHashMap<TrainerName, Mutex>()
    private val knownHolders = ConcurrentHashMap<TrainerName, InstanceName>()
    private val reacquireAt = ConcurrentHashMap<TrainerName, Moment>()

    @Volatile
    private var draining = false

    /** Starts the loops that renew leases, acquire unheld ones and schedule samples. They run until the scope ends. */
    fun start() {
        scope.launch {
            while (true) {
                // One coroutine per lease, so that a slow ledger group does not let the other leases expire.
                samplers.keys.forEach { trainer -> contractOf(trainer)?.let { launch { acquire(it) } } }
                if (!draining) launch { acquireUnheldLeases() }
                delay(RENEWAL_INTERVAL)
            }
        }
        scope.launch {
            while (true) {
                samplers.values.forEach { it.schedule() }
                delay(SCHEDULING_INTERVAL)
            }
        }
    }

    /** Notifies the lease holder of [trainer], without waiting, that the ledger's record of the trainer has changed. */
    fun refreshSoon(trainer: TrainerName) {
        scope.launch {
            val contract = contractOf(trainer) ?: return@launch
            val target = "${TrainerService.PATH_PREFIX}${trainer.value}/refresh"
            val request = TrainerRequest.Refresh(trainer)
            executeAtHolder(
                request,
                "POST",
                target,
                ByteArray(0),
                RequestIdentifier("refresh-${contract.trainer.value}"),
            )
        }
    }

    /** Executes [request] locally if this entry holds the lease or can acquire it, otherwise at the lease holder. */
    suspend fun executeAtHolder(
        request: TrainerRequest,
        method: String,
        target: String,
        body: ByteArray,
        identifier: RequestIdentifier,
    ): TrainerResponse {
        val contract = contractOf(request.trainer)
            ?: return TrainerResponse.refusal(RefusalReason.UNAUTHORIZED, "no contract", identifier)
        repeat(HOLDER_ATTEMPTS) {
            if (request is TrainerRequest.Refresh) samplers[request.trainer]?.let { acquire(contract) }
            samplers[request.trainer]?.let { sampler -> execute(sampler, request, identifier)?.let { return it } }
            knownHolders[request.trainer]?.let { holder ->
                val budget = PEER_CALL_TIMEOUT + ((request as? TrainerRequest.Fetch)?.wait ?: Duration.ZERO)
                val reply = peers.call(holder, method, target, body, budget)
                if (reply != null && reply.status != NOT_HOLDER_STATUS) {
                    return TrainerResponse(reply.status, reply.contentType, reply.body)
                }
            }
            when (val location = if (draining) readHolder(contract) else acquire(contract)) {
                LeaseLocation.Local -> Unit
                LeaseLocation.UnknownTrainer -> return TrainerResponse.json(200, EMPTY_SAMPLES)
                LeaseLocation.Unknown -> delay(HOLDER_RETRY_DELAY)
                is LeaseLocation.Remote -> {
                    val moved = knownHolders.put(request.trainer, location.holder) != location.holder
                    if (!moved) delay(HOLDER_RETRY_DELAY)
                }
            }
        }
        return TrainerResponse.refusal(
            RefusalReason.CONTROL_UNAVAILABLE,
            "no entry holds the trainer's lease",
            identifier,
        )
    }

    /** Handles a call of another entry; replies with status 421 if this entry does not hold the lease. */
    suspend fun onPeerCall(call: PeerMessage.PeerCall): TrainerResponse {
        val identifier = RequestIdentifier("peer-${call.identifier}")
        val request = TrainerRequestParser.read(call.method, call.path, call.body).getOrElse {
            return TrainerResponse.refusal(RefusalReason.MALFORMED, it.detail, identifier)
        }
        val sampler = samplers[request.trainer]
        if (request is TrainerRequest.Refresh && sampler != null) acquire(sampler.contract)
        return sampler?.let { execute(it, request, identifier) }
            ?: TrainerResponse(NOT_HOLDER_STATUS, "text/plain", ByteArray(0))
    }

    /**
     * Starts no more samples, waits up to [bound] for running samples and their delivery, then surrenders the leases.
     */
    suspend fun drain(bound: Duration) {
        draining = true
        samplers.values.forEach { it.stopScheduling() }
        withTimeoutOrNull(bound) {
            while (!samplers.values.all { it.isIdle }) delay(DRAIN_POLL_INTERVAL)
            withTimeoutOrNull(DELIVERY_TIMEOUT) {
                while (!samplers.values.all { it.isDelivered }) delay(DRAIN_POLL_INTERVAL)
            }
        }
        samplers.values.forEach { sampler ->
            val trainer = sampler.contract.trainer
            lock(trainer) {
                sampler.cancelAll()
                samplers.remove(trainer, sampler)
            }
            context.ledger.command(
                context.group(sampler.contract),
                LedgerCommand.SurrenderLease(trainer, sampler.token),
            )
        }
    }

    private suspend fun execute(
        sampler: TrainerSampler,
        request: TrainerRequest,
        identifier: RequestIdentifier,
    ): TrainerResponse? {
        if (request !is TrainerRequest.Fetch) return TrainerResponse.json(200, "{}")
        val result = SampleDelivery(sampler, context).fetch(request)
        val body = result.getOrElse { return TrainerService.failure(it, identifier) }
        if (body == null) discard(sampler)
        return body?.let { TrainerResponse.json(200, it) }
    }

    private suspend fun discard(sampler: TrainerSampler) = lock(sampler.contract.trainer) {
        sampler.cancelAll()
        samplers.remove(sampler.contract.trainer, sampler)
    }

    private suspend fun acquireUnheldLeases() {
        val contracts = inForce.settings?.trainers?.values?.map { it.contract }.orEmpty()
            .filter { it.homeRegion == region }
        val group = contracts.firstOrNull()?.let(context::group) ?: return
        val answer = context.ledger.query(group, LedgerQuery.ReadOpenTrainers).getOrNull()
        val open = (answer as? LedgerAnswer.OpenTrainers)?.trainers.orEmpty().toSet()
        contracts.filter { it.trainer in open && !samplers.containsKey(it.trainer) }.forEach { contract ->
            val blocked = reacquireAt[contract.trainer]?.let { context.clock() < it } ?: false
            if (!blocked) acquire(contract)
        }
    }

    /** Acquires or renews the lease, and returns its location. */
    private suspend fun acquire(contract: TrainingContract): LeaseLocation = lock(contract.trainer) {
        val trainer = contract.trainer
        val sampler = samplers[trainer]
        val command = LedgerCommand.AcquireLease(trainer, self, sampler?.token)
        val answer = context.ledger.command(context.group(contract), command)
            .getOrElse { return@lock LeaseLocation.Unknown }
        when (val result = (answer as? LedgerAnswer.Leased)?.result) {
            is LeaseResult.Held -> {
                onLeaseHeld(contract, sampler, result)
                LeaseLocation.Local
            }

            is LeaseResult.HeldByOther -> {
                onLeaseLost(sampler)
                reacquireAt[trainer] = context.clock() + result.remainingMilliseconds.milliseconds
                LeaseLocation.Remote(result.holder)
            }

            LeaseResult.UnknownTrainer -> LeaseLocation.UnknownTrainer
            null -> LeaseLocation.Unknown
        }
    }

    private fun onLeaseHeld(contract: TrainingContract, sampler: TrainerSampler?, result: LeaseResult.Held) {
        val reusable = sampler?.takeIf { it.token == result.token && !it.leaseLost && it.contract == contract }
        if (reusable == null) onLeaseLost(sampler)
        val current = reusable ?: TrainerSampler(contract, result.token, context, scope).also {
            samplers[contract.trainer] = it
            context.events.record("lease-acquired", "trainer" to contract.trainer, "token" to result.token)
        }
        if (draining) current.stopScheduling()
        current.onLeaseHeld(result)
    }

    private fun onLeaseLost(sampler: TrainerSampler?) {
        if (sampler == null) return
        sampler.cancelAll()
        samplers.remove(sampler.contract.trainer, sampler)
        context.events.record("lease-lost", "trainer" to sampler.contract.trainer, "token" to sampler.token)
    }

    private suspend fun readHolder(contract: TrainingContract): LeaseLocation {
        val answer = context.ledger.query(context.group(contract), LedgerQuery.ReadHolder(contract.trainer)).getOrNull()
        val holder = (answer as? LedgerAnswer.Holder)?.holder
        return if (holder == null || holder == self) LeaseLocation.Unknown else LeaseLocation.Remote(holder)
    }

    private fun contractOf(trainer: TrainerName): TrainingContract? = inForce.settings?.trainers?.get(trainer)?.contract

    private suspend fun <T> lock(trainer: TrainerName, action: suspend () -> T): T =
        locks.computeIfAbsent(trainer) { Mutex() }.withLock { action() }

    /** Location of the lease of a trainer. */
    private sealed interface LeaseLocation {
        data object Local : LeaseLocation

        data class Remote(val holder: InstanceName) : LeaseLocation

        data object Unknown : LeaseLocation

        /** The ledger does not know the trainer, as it has submitted no step. */
        data object UnknownTrainer : LeaseLocation
    }

    private companion object {
        const val EMPTY_SAMPLES = """{"samples":[],"cursor":"0.0","remaining":0}"""

        /** Allows three renewals within the lease duration of 10 s. */
        val RENEWAL_INTERVAL = 3.seconds

        /** Scheduling is polled, as no message tells this entry that an engine slot has become free. */
        val SCHEDULING_INTERVAL = 100.milliseconds
        val DRAIN_POLL_INTERVAL = 50.milliseconds

        /** Time that a draining entry gives trainers to fetch the generated samples. */
        val DELIVERY_TIMEOUT = 30.seconds
        val PEER_CALL_TIMEOUT = 5.seconds
        val HOLDER_RETRY_DELAY = 200.milliseconds

        /** Outlasts a holder that has just stopped and links between entries that are not open yet. */
        const val HOLDER_ATTEMPTS = 10

        /** Reply status of an entry that does not hold the lease (421 Misdirected Request). */
        const val NOT_HOLDER_STATUS = 421
    }
}
