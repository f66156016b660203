package org.zinniahoist.experiment.quickstart

import java.security.MessageDigest

/** Settings tree and tokens of the quick start. */
internal object QuickstartTree {
    const val MODEL = "suggestion"
    const val TRAINER = "basket-suggestions"
    const val CALLER = "shopkeepers"
    const val SERVICE = "orders"
    const val REGION = "cz-central"
    const val BRANCH = "root/hrubec"
    const val STALENESS_BOUND = 2
    const val TRAINER_TOKEN = "quickstart-trainer"
    const val CALLER_TOKEN = "quickstart-caller"

    /** The tree in INI form. */
    fun text(): String = """
        [root]
        office = hrubec-platform

        [$BRANCH]
        staleness.bound = $STALENESS_BOUND
        staleness.preference = 0.2
        model.$MODEL.rollout-wave = 0.34
        trainer.$TRAINER.model = $MODEL
        trainer.$TRAINER.home-region = $REGION
        trainer.$TRAINER.token-hash = ${sha256(TRAINER_TOKEN)}
        caller.$CALLER.home-region = $REGION
        caller.$CALLER.non-idempotent-services = $SERVICE
        caller.$CALLER.token-hash = ${sha256(CALLER_TOKEN)}
    """.trimIndent()

    private fun sha256(text: String): String =
        MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()).joinToString("") { "%02x".format(it) }
}
