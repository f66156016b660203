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

/** The leases of trainers that this entry holds, and the way to the holders of the others. */
internal class TrainerHoldings(
    private val self: InstanceName,
    private val region: Region,
    private val inForce: ActiveSettings,
    private val tools: DraftTools,
    private val peers: PeerCaller,
    private val scope: CoroutineScope,
) {
    private val held = ConcurrentHashMap<TrainerName, TrainerWork>()
    private val locks = ConcurrentHashMap<TrainerName, Mutex>()
    private val holders = ConcurrentHashMap<TrainerName, InstanceName>()
    private val notBefore = ConcurrentHashMap<TrainerName, Moment>()

    @Volatile
    private var draining = false

    /** Renews the leases and looks for trainers without a holder until the scope ends. */
    fun start() {
        scope.launch {
            while (true) {
                // Each in its own coroutine: a slow group must not let the leases of the others end.
                held.keys.forEach { trainer -> contractOf(trainer)?.let { launch { acquire(it) } } }
                if (!draining) launch { adoptOpenTrainers() }
                delay(RENEWAL_INTERVAL)
            }
        }
        scope.launch {
            while (true) {
                held.values.forEach { it.pump() }
                delay(PUMP_INTERVAL)
            }
        }
    }

    /** Tells the holder of [trainer] that the ledger's record has changed. */
    fun refreshSoon(trainer: TrainerName) {
        scope.launch {
            val contract = contractOf(trainer) ?: return@launch
            val target = "${TrainerService.PREFIX}${trainer.value}/refresh"
            val request = TrainerRequest.Refresh(trainer)
            atHolder(request, "POST", target, ByteArray(0), RequestIdentifier("refresh-${contract.trainer.value}"))
        }
    }

    /** Answers [request] here if this entry holds the lease or can acquire it, else at the holder. */
    suspend fun atHolder(
        request: TrainerRequest,
        method: String,
        target: String,
        body: ByteArray,
        identifier: RequestIdentifier,
    ): TrainerAnswer {
        val contract = contractOf(request.trainer)
            ?: return TrainerAnswer.refusal(RefusalReason.UNAUTHORIZED, "no contract", identifier)
        repeat(HOLDER_ATTEMPTS) {
            if (request is TrainerRequest.Refresh) held[request.trainer]?.let { acquire(contract) }
            held[request.trainer]?.let { work -> perform(work, request, identifier)?.let { return it } }
            holders[request.trainer]?.let { holder ->
                val budget = CALL_BUDGET + ((request as? TrainerRequest.Fetch)?.wait ?: Duration.ZERO)
                val reply = peers.call(holder, method, target, body, budget)
                if (reply != null && reply.status != NO_HOLDER) {
                    return TrainerAnswer(reply.status, reply.contentType, reply.body)
                }
            }
            when (val place = if (draining) holder(contract) else acquire(contract)) {
                Place.Here -> Unit
                Place.NoTrainer -> return TrainerAnswer.json(200, NOTHING)
                Place.NotKnown -> delay(HOLDER_PAUSE)
                is Place.At -> {
                    val moved = holders.put(request.trainer, place.holder) != place.holder
                    if (!moved) delay(HOLDER_PAUSE)
                }
            }
        }
        return TrainerAnswer.refusal(
            RefusalReason.CONTROL_UNAVAILABLE,
            "no entry holds the trainer's lease",
            identifier,
        )
    }

    /** Answers a call of another entry. */
    suspend fun onPeerCall(call: PeerMessage.PeerCall): TrainerAnswer {
        val identifier = RequestIdentifier("peer-${call.identifier}")
        val request = TrainerRequests.read(call.method, call.path, call.body).getOrElse {
            return TrainerAnswer.refusal(RefusalReason.MALFORMED, it.detail, identifier)
        }
        val work = held[request.trainer]
        if (request is TrainerRequest.Refresh && work != null) acquire(work.contract)
        return work?.let { perform(it, request, identifier) } ?: TrainerAnswer(NO_HOLDER, "text/plain", ByteArray(0))
    }

    /** Ends the drafts that run, waits for the trainers within [bound] and gives the leases back. */
    suspend fun drain(bound: Duration) {
        draining = true
        held.values.forEach { it.stopStarting() }
        withTimeoutOrNull(bound) {
            while (!held.values.all { it.isIdle }) delay(DRAIN_CHECK)
            withTimeoutOrNull(HANDOVER_BOUND) {
                while (!held.values.all { it.isHandedOver }) delay(DRAIN_CHECK)
            }
        }
        held.values.forEach { work ->
            val trainer = work.contract.trainer
            lock(trainer) {
                work.abandon()
                held.remove(trainer, work)
            }
            tools.ledger.command(tools.group(work.contract), LedgerCommand.SurrenderLease(trainer, work.token))
        }
    }

    private suspend fun perform(
        work: TrainerWork,
        request: TrainerRequest,
        identifier: RequestIdentifier,
    ): TrainerAnswer? {
        if (request !is TrainerRequest.Fetch) return TrainerAnswer.json(200, "{}")
        val result = SampleDelivery(work, tools).fetch(request)
        val body = result.getOrElse { return TrainerService.failure(it, identifier) }
        if (body == null) drop(work)
        return body?.let { TrainerAnswer.json(200, it) }
    }

    private suspend fun drop(work: TrainerWork) = lock(work.contract.trainer) {
        work.abandon()
        held.remove(work.contract.trainer, work)
    }

    private suspend fun adoptOpenTrainers() {
        val contracts = inForce.settings?.trainers?.values?.map { it.contract }.orEmpty()
            .filter { it.homeRegion == region }
        val group = contracts.firstOrNull()?.let(tools::group) ?: return
        val answer = tools.ledger.query(group, LedgerQuery.ReadOpenTrainers).getOrNull()
        val open = (answer as? LedgerAnswer.OpenTrainers)?.trainers.orEmpty().toSet()
        contracts.filter { it.trainer in open && !held.containsKey(it.trainer) }.forEach { contract ->
            val blocked = notBefore[contract.trainer]?.let { tools.clock() < it } ?: false
            if (!blocked) acquire(contract)
        }
    }

    /** Acquires or renews the lease, and returns where it is. */
    private suspend fun acquire(contract: TrainingContract): Place = lock(contract.trainer) {
        val trainer = contract.trainer
        val work = held[trainer]
        val command = LedgerCommand.AcquireLease(trainer, self, work?.token)
        val answer = tools.ledger.command(tools.group(contract), command).getOrElse { return@lock Place.NotKnown }
        when (val result = (answer as? LedgerAnswer.Leased)?.result) {
            is LeaseResult.Held -> {
                onHeld(contract, work, result)
                Place.Here
            }

            is LeaseResult.HeldByOther -> {
                lose(work)
                notBefore[trainer] = tools.clock() + result.remainingMilliseconds.milliseconds
                Place.At(result.holder)
            }

            LeaseResult.UnknownTrainer -> Place.NoTrainer
            null -> Place.NotKnown
        }
    }

    private fun onHeld(contract: TrainingContract, work: TrainerWork?, result: LeaseResult.Held) {
        val kept = work?.takeIf { it.token == result.token && !it.lost && it.contract == contract }
        if (kept == null) lose(work)
        val current = kept ?: TrainerWork(contract, result.token, tools, scope).also {
            held[contract.trainer] = it
            tools.events.record("lease-acquired", "trainer" to contract.trainer, "token" to result.token)
        }
        if (draining) current.stopStarting()
        current.onHeld(result)
    }

    private fun lose(work: TrainerWork?) {
        if (work == null) return
        work.abandon()
        held.remove(work.contract.trainer, work)
        tools.events.record("lease-lost", "trainer" to work.contract.trainer, "token" to work.token)
    }

    private suspend fun holder(contract: TrainingContract): Place {
        val answer = tools.ledger.query(tools.group(contract), LedgerQuery.ReadHolder(contract.trainer)).getOrNull()
        val holder = (answer as? LedgerAnswer.Holder)?.holder
        return if (holder == null || holder == self) Place.NotKnown else Place.At(holder)
    }

    private fun contractOf(trainer: TrainerName): TrainingContract? = inForce.settings?.trainers?.get(trainer)?.contract

    private suspend fun <T> lock(trainer: TrainerName, action: suspend () -> T): T =
        locks.computeIfAbsent(trainer) { Mutex() }.withLock { action() }

    /** Where the lease of a trainer is held. */
    private sealed interface Place {
        data object Here : Place

        data class At(val holder: InstanceName) : Place

        data object NotKnown : Place

        /** The trainer has submitted nothing. */
        data object NoTrainer : Place
    }

    private companion object {
        const val NOTHING = """{"samples":[],"cursor":"0.0","remaining":0}"""

        /** Three renewals fit into the lease time of 10 s. */
        val RENEWAL_INTERVAL = 3.seconds

        /** Slots become free without a message to this entry. */
        val PUMP_INTERVAL = 100.milliseconds
        val DRAIN_CHECK = 50.milliseconds

        /** Time in which trainers fetch what is drafted when the entry stops. */
        val HANDOVER_BOUND = 30.seconds
        val CALL_BUDGET = 5.seconds
        val HOLDER_PAUSE = 200.milliseconds

        /** Covers a holder that has just stopped and links between entries that are just opening. */
        const val HOLDER_ATTEMPTS = 10

        /** Status of the reply of an entry that does not hold the lease. */
        const val NO_HOLDER = 421
    }
}
