package org.zinniahoist.gateway

import org.zinniahoist.gateway.core.CoreProcess
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.gateway.entry.EntryProcess
import org.zinniahoist.model.Moment
import org.zinniahoist.settings.GatewayRole
import org.zinniahoist.settings.GatewaySettings

/** One process of a gateway deployment. */
public interface GatewayProcess {
    /** Starts serving. */
    public fun start()

    /**
     * Applies what can change at run time, the seeds of [settings]; all other values must be those of the start. Called
     * after [start] has returned, on any thread.
     *
     * Other keys that change in the settings file apply at the next start and are named in the log line of the change.
     */
    public fun reload(settings: GatewaySettings)

    /** Drains the work in progress and stops. Returns when the process may exit. */
    public fun stop()

    public companion object {
        /**
         * Creates the process for the role in [settings].
         *
         * @param onFailure called with the reason when the process must be restarted after a failure; must not block.
         */
        public fun of(
            settings: GatewaySettings,
            dialect: PlatformDialect,
            clock: () -> Moment = { Moment(System.nanoTime()) },
            onFailure: (String) -> Unit,
        ): GatewayProcess = when (settings.role) {
            GatewayRole.ENTRY -> EntryProcess(settings, dialect, clock)
            GatewayRole.CORE -> CoreProcess(settings, dialect, clock, onFailure)
        }
    }
}
