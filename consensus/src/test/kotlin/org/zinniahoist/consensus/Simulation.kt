package org.zinniahoist.consensus

import org.zinniahoist.model.InstanceName
import java.nio.ByteBuffer
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Simulates a group of replicas under random faults. Runs with the same [seed] are identical. */
internal class Simulation(
    private val seed: Long,
    private val bug: InjectedBug = InjectedBug.NONE,
    private val trace: ((String) -> Unit)? = null,
) {
    private class Delivery(
        val at: Int,
        val order: Long,
        val to: InstanceName,
        val message: ReplicaMessage,
    )

    private val random = Random(seed)
    val oracle = Oracle()
    private val instances = List(INSTANCES) { InstanceName("n$it") }
    private val options =
        ReplicaOptions(
            heartbeatInterval = 30.milliseconds,
            electionTimeout = 150.milliseconds,
            shortElectionDelay = 20.milliseconds,
            maximumBatchBytes = 300,
            maximumInflightAppends = 4,
            snapshotInterval = 25,
            trailingEntries = random.nextLong(0, 10),
            memberInstances = instances.toSet(),
        )
    private val nodes = instances.map { SimulatedNode(it, options, random, oracle, bug) }
    private val byInstance = nodes.associateBy { it.instance }
    private val network = PriorityQueue(compareBy<Delivery>({ it.at }, { it.order }))
    private val blockedLinks = HashSet<Pair<InstanceName, InstanceName>>()
    private var step = 0
    private var order = 0L
    private var nextRequest = 1L
    private var lossPercent = 0
    private var syncPercent = 60
    private var maximumDelay = 3
    private var healed = false
    private val lost = HashSet<ReplicaIdentifier>()

    /** Runs all steps, then heals all faults and checks that the group makes progress and converges. */
    fun run() {
        val voters = nodes.take(VOTERS)
        val members = Configuration(voters.map { Member(ReplicaAddress(it.identifier, it.instance), voter = true) })
        voters.forEach { GroupStorage.bootstrap(it.files, it.identifier, members, timeMilliseconds = 1) }
        nodes.take(VOTERS).forEach { it.start() }
        repeat(STEPS) { advance() }
        heal()
        val target = oracle.acknowledgedIndex
        repeat(HEALING_STEPS) {
            advance()
            if (oracle.acknowledgedIndex > target && isConverged()) return
        }
        throw InvariantViolation(
            "no progress after all faults were healed: ${nodes.joinToString("; ", transform = ::describe)}",
        )
    }

    private fun describe(node: SimulatedNode): String {
        val replica = node.replica ?: return "${node.instance} stopped"
        val members = replica.configuration.members.joinToString(",") { member ->
            member.address.instance.value + (if (member.voter) "" else "?") + (if (isLost(member)) "!" else "")
        }
        val previous = replica.configuration.previousVoters.size
        val indexes = "last=${replica.lastIndex} commit=${replica.commitIndex}"
        return "${node.instance} $indexes members=$members joint=$previous"
    }

    private fun isLost(member: Member): Boolean = member.address.identifier in lost

    private fun isConverged(): Boolean {
        val leader = nodes.find { it.replica?.isLeader == true } ?: return false
        val members = leader.replica?.configuration?.voters.orEmpty()
        return nodes.filter { it.identifier in members }.all { it.lastApplied >= oracle.acknowledgedIndex }
    }

    private fun advance() {
        step++
        nodes.forEach { it.passTime(STEP_MILLISECONDS) }
        if (!healed) injectFault()
        issueRequest()
        while (network.isNotEmpty() && network.peek().at <= step) network.poll().let { deliver(it.to, it.message) }
        for (node in nodes) {
            if (node.pausedUntil > step) continue
            node.inbox += ReplicaEvent.Tick
            node.step { to, message -> send(node.instance, to, message) }
            if (healed || random.nextInt(100) < syncPercent) node.sync()
        }
    }

    private fun deliver(to: InstanceName, message: ReplicaMessage) {
        trace?.invoke("$step deliver ${message.from.instance}->$to term=${message.term} ${message.content}")
        byInstance.getValue(to).receive(message)
    }

    private fun send(from: InstanceName, to: InstanceName, message: ReplicaMessage) {
        if (from to to in blockedLinks || random.nextInt(100) < lossPercent) return
        val copies = if (!healed && random.nextInt(100) < 3) 2 else 1
        repeat(copies) { network += Delivery(step + 1 + random.nextInt(maximumDelay), order++, to, message) }
    }

    private fun issueRequest() {
        val node = nodes[random.nextInt(nodes.size)]
        if (node.replica == null || !healed && random.nextInt(100) < 20) return
        val leader = if (random.nextInt(100) <
            80
        ) {
            nodes.filter { it.replica?.isLeader == true }.randomOrNull(random)
        } else {
            node
        }
        val target = leader ?: node
        val request = nextRequest++
        if (random.nextInt(100) < 60) {
            val command = ByteBuffer.allocate(8 + random.nextInt(60)).putLong(request).array()
            target.propose(request, command)
        } else {
            target.read(request)
        }
    }

    private fun injectFault() {
        val node = nodes[random.nextInt(nodes.size)]
        val kind = random.nextInt(FAULT_KINDS)
        injectReplicaFault(kind, node)
        injectEnvironmentFault(kind, node)
    }

    private fun injectReplicaFault(kind: Int, node: SimulatedNode) {
        val running = node.replica != null
        when (kind) {
            0, 1, 2 -> if (running) crash(node)
            in 3..18 -> if (!running) record("start", node) { node.start() }
            19, 20 -> record("pause", node) { node.pausedUntil = step + random.nextInt(60) }
            in 31..34 -> if (mayLoseDisk(node)) record("replace disk", node) { replaceDisk(node) }
            35, 36 -> changeMembership(node)
            42 -> reportStopped(node)
            37 -> if (running) record("fail syncs", node) { node.files.failSyncs = true }
            39 -> crashSeveral()
        }
    }

    private fun injectEnvironmentFault(kind: Int, node: SimulatedNode) {
        when (kind) {
            21, 22 -> partition()
            23, 24, 25 -> blockedLinks.clear()
            26 -> blockedLinks += node.instance to instances[random.nextInt(INSTANCES)]
            27 -> lossPercent = random.nextInt(30)
            28 -> maximumDelay = 1 + random.nextInt(if (random.nextBoolean()) 5 else 40)
            29 -> node.clockRate = 0.5 + random.nextDouble() * 1.5
            30 -> node.wallMilliseconds += random.nextLong(-5_000, 5_000)
            38, 40 -> nodes.find { it.replica?.isLeader == true }?.let { it.pausedUntil = step + random.nextInt(60) }
            41 -> syncPercent = 5 + random.nextInt(95)
        }
    }

    private fun crash(node: SimulatedNode) {
        record("crash", node) { node.crash() }
        reportStopped(node)
    }

    /** Reports to a random subset of the replicas that a process stopped. Reports may be late or false. */
    private fun reportStopped(stopped: SimulatedNode) {
        val observers = nodes.filter { it.replica != null && it !== stopped && random.nextBoolean() }
        observers.forEach { it.inbox += ReplicaEvent.PeerStopped(stopped.instance) }
        oracle.count("report stopped")
    }

    private fun crashSeveral() {
        val chosen = nodes.filter { it.replica != null && random.nextBoolean() }
        chosen.forEach(::crash)
    }

    private fun partition() {
        blockedLinks.clear()
        val side = instances.filter { random.nextBoolean() }.toSet()
        for (from in instances) for (to in instances) if ((from in side) != (to in side)) blockedLinks += from to to
    }

    private fun changeMembership(node: SimulatedNode) {
        val leader = nodes.find { it.replica?.isLeader == true } ?: return
        val voters = leader.replica?.configuration?.voters.orEmpty()
        if (voters.size <= VOTERS || node.identifier !in voters) return
        val change = MembershipChange.Remove(node.identifier)
        leader.inbox += ReplicaEvent.ChangeMembership(nextRequest++, change)
        oracle.count("remove")
        trace?.invoke("$step remove ${node.instance}")
    }

    /**
     * Returns true if the group tolerates the loss of this node's disk: all other nodes run, and each member whose disk
     * was lost is replaced. This includes learners, because the leader may promote one before it detects the loss.
     */
    private fun mayLoseDisk(node: SimulatedNode): Boolean {
        if (nodes.any { it.replica == null && it !== node }) return false
        val configurations = nodes.filter { it !== node }.mapNotNull { it.replica?.configuration }
        return configurations.filter { it.members.isNotEmpty() }.all { configuration ->
            val members = configuration.members.map { it.address.identifier } + configuration.previousVoters
            configuration.voters.size >= VOTERS && members.none { it in lost }
        }
    }

    private fun replaceDisk(node: SimulatedNode) {
        lost += node.identifier
        node.replaceDisk()
        node.start()
    }

    private fun heal() {
        healed = true
        blockedLinks.clear()
        lossPercent = 0
        maximumDelay = 2
        for (node in nodes) {
            node.pausedUntil = 0
            node.clockRate = 1.0
            if (node.files.failSyncs) node.crash()
            if (node.replica == null) record("start", node) { node.start() }
        }
    }

    private fun record(event: String, node: SimulatedNode, block: () -> Unit) {
        oracle.count(event)
        trace?.invoke("$step $event ${node.instance}")
        block()
    }

    companion object {
        private const val INSTANCES = 5

        /** Range of the fault kind. Kinds without a fault keep the mean time between faults at about 6 steps. */
        private const val FAULT_KINDS = 240
        private const val VOTERS = 3
        private const val STEPS = 400
        private const val HEALING_STEPS = 1_000
        private const val STEP_MILLISECONDS = 10

        /** Runs one seed. Returns null on success, or else the failure and the end of its trace. */
        fun check(
            seed: Long,
            bug: InjectedBug = InjectedBug.NONE,
            onCounts: (Map<String, Long>) -> Unit = {},
        ): String? {
            val simulation = Simulation(seed, bug)
            val failure = runCatching { simulation.run() }.exceptionOrNull()
            onCounts(simulation.oracle.counts)
            if (failure == null) return null
            val lines = ArrayDeque<String>()
            runCatching {
                Simulation(seed, bug) {
                    lines += it
                    if (lines.size > TRACE_LINES) lines.removeFirst()
                }.run()
            }
            return "seed=$seed fault=$bug ${failure.stackTraceToString()}\n${lines.joinToString("\n")}"
        }

        private const val TRACE_LINES = 200
    }
}
