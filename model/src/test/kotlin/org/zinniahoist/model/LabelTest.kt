package org.zinniahoist.model

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class LabelTest {
    @Nested
    inner class Appending {
        /** Guards against losing the earlier version when the weights are updated during a stream. */
        @Test
        fun `lists both versions when the weights change during a stream`() {
            val label = Label().append(WeightVersion(7), 3).append(WeightVersion(7), 2).append(WeightVersion(8), 4)

            expectThat(label.spans).containsExactly(TokenSpan(WeightVersion(7), 5), TokenSpan(WeightVersion(8), 4))
            expectThat(label.tokens).isEqualTo(9)
        }

        @Test
        fun `ignores empty spans`() {
            expectThat(Label().append(WeightVersion(7), 0).oldest).isNull()
        }
    }

    @Nested
    inner class Staleness {
        /** Guards against measuring the staleness from the newest version. */
        @Test
        fun `is measured from the oldest version`() {
            val label = Label().append(WeightVersion(9), 1).append(WeightVersion(7), 1)

            expectThat(label.staleness(WeightVersion(10))).isEqualTo(3L)
        }
    }
}
