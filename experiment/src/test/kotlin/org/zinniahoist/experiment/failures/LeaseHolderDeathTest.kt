package org.zinniahoist.experiment.failures

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.io.TempDir
import org.zinniahoist.experiment.quickstart.QuickstartTree
import org.zinniahoist.standin.client.TrainerAnswer
import org.zinniahoist.standin.client.TrainerClient
import org.zinniahoist.standin.client.TrainerGroup
import org.zinniahoist.standin.client.TrainerTally
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isNotEqualTo
import java.nio.file.Path

@Timeout(120)
class LeaseHolderDeathTest {
    /** Guards against lost, doubled or mislabelled samples when the entry that drafts a step dies. */
    @Test
    fun `a step completes exactly once after the death of the lease holder`(@TempDir folder: Path) =
        runBlocking<Unit>(Dispatchers.Default) {
            FailureCluster(folder, controlReplicas = 1).use { failures ->
                failures.start()
                val tally = TrainerTally(QuickstartTree.STALENESS_BOUND.toLong())
                val trainer = TrainerClient(
                    failures.cluster.entries,
                    QuickstartTree.TRAINER_TOKEN,
                    QuickstartTree.TRAINER,
                    tally,
                )
                trainer.announceVersion(1)
                val groups = List(GROUPS) { TrainerGroup("basket of shop $it", SAMPLES, maximumTokens = 64) }
                expectThat(trainer.submit(1, groups)).isEqualTo(TrainerAnswer.Accepted(201, Unit))
                val repeated = async(Dispatchers.IO) { collect(trainer, tally) }
                failures.await { tally.samples > 0 }
                val holder = failures.events.last { it.name == "lease-acquired" }.instance
                failures.cluster.kill(holder)
                val atKill = tally.samples
                expectThat(atKill).describedAs("samples when the holder died").isIn(1 until GROUPS * SAMPLES)

                expectThat(
                    repeated.await(),
                ).describedAs("samples delivered again after their acknowledgement").isEmpty()
                expectThat(tally.defects).isEmpty()
                expectThat(tally.samples).isEqualTo(GROUPS * SAMPLES)
                expectThat(failures.events.last { it.name == "lease-acquired" }.instance).isNotEqualTo(holder)
                println("lease samples-at-kill=$atKill samples=${tally.samples} redeliveries=${tally.redeliveries}")
            }
        }

    /** Fetches until the step is complete and then until nothing is left; returns wrongly repeated identifiers. */
    private fun collect(trainer: TrainerClient, tally: TrainerTally): List<String> {
        val acknowledged = mutableSetOf<String>()
        val repeated = mutableListOf<String>()
        var remaining = Int.MAX_VALUE
        var cursor = ""
        while (tally.missing(QuickstartTree.TRAINER, 1) > 0 || remaining > 0) {
            val page = (trainer.fetch(cursor, limit = FETCH_LIMIT) as? TrainerAnswer.Accepted)?.value
            if (page == null) {
                cursor = ""
                Thread.sleep(RETRY_MILLISECONDS)
                continue
            }
            val identifiers = page.samples.map { it.identifier }
            repeated += identifiers.filter { it in acknowledged }
            if (identifiers.isNotEmpty()) {
                // Fetches and acknowledgements alternate between the entries, so either can meet the dead one.
                while (trainer.acknowledge(identifiers) !is TrainerAnswer.Accepted) Thread.sleep(RETRY_MILLISECONDS)
                acknowledged += identifiers
            }
            cursor = page.cursor
            remaining = page.remaining
        }
        return repeated
    }

    private companion object {
        const val GROUPS = 20
        const val SAMPLES = 8
        const val FETCH_LIMIT = 16
        const val RETRY_MILLISECONDS = 50L
    }
}
