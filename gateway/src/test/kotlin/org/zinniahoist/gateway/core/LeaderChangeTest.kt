package org.zinniahoist.gateway.core

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.dispatch.ModelDemand
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.ServiceCommand
import org.zinniahoist.state.service.StepTerms
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests which work of the previous leader a new leader can resume. */
internal class LeaderChangeTest {
    private val fixture = EngineFixture()

    @AfterEach
    fun close() = fixture.close()

    /** Guards against items that restart from scratch after a leader change, so that their step misses its deadline. */
    @Test
    fun `a new leader resumes the text that the previous leader received`() {
        fixture.responsesEnd = false
        fixture.eventsPerResponse = 30
        fixture.routes(EngineFixture.route())
        fixture.submit("j", EngineFixture.item("a", tokens = 100))
        fixture.activate()
        expectThat(fixture.eventually { fixture.recordedEvents("j", "a") == 30 }).isTrue()
        fixture.activate()
        expectThat(fixture.eventually { fixture.requestedItems.size == 2 }).isTrue()
        expectThat(fixture.resumedAfter.toList()).isEqualTo(listOf(0L, 30L))
        expectThat(fixture.eventually { fixture.recordedEvents("j", "a") == 60 }).isTrue()
    }

    /** Guards against the cost of one log command for each event of each item. */
    @Test
    fun `a short text is not recorded`() {
        fixture.responsesEnd = false
        fixture.eventsPerResponse = 10
        fixture.routes(EngineFixture.route())
        fixture.submit("j", EngineFixture.item("a"))
        fixture.activate()
        expectThat(fixture.eventually { fixture.requestedItems.isNotEmpty() }).isTrue()
        fixture.pass(600.milliseconds)
        expectThat(fixture.recordedEvents("j", "a")).isEqualTo(0)
    }

    /**
     * Guards against a new leader that allocates no upstreams to a model because its trainer is between two steps
     * during the leader change.
     */
    @Test
    fun `a model whose step has just ended keeps its demand under a new leader`() {
        val model = ModelName("m")
        fixture.routes(EngineFixture.route())
        fixture.submit("j", EngineFixture.item("a"), step = StepTerms(1, model, WeightVersion(1), wantedGroups = 1))
        fixture.apply(ServiceCommand.EndJob(JobIdentifier("j")))
        fixture.activate()
        expectThat(fixture.demand(model)).isEqualTo(ModelDemand(tokens = 10, WeightVersion(1)))
        fixture.advance += 11.seconds
        expectThat(fixture.demand(model)).isEqualTo(ModelDemand())
    }
}
