package org.zinniahoist.daemon.configuration

import org.zinniahoist.model.Revision
import org.zinniahoist.settings.EffectiveSettings

/** The settings on which a daemon acts. The revision never decreases while the process runs. */
public interface ActiveSettings {
    /** Revision of the settings tree, or [Revision.NONE] before the first read from the control replicas. */
    public val revision: Revision

    /** Settings of the daemon's branch, or null before the first read. A daemon without settings takes no work. */
    public val settings: EffectiveSettings?
}
