package org.zinniahoist.daemon.control

import org.zinniahoist.settings.OfficeName
import org.zinniahoist.settings.OperatorName

/** What the holder of an operator's token may do: act as [operator] and edit branches of [offices]. */
public data class OperatorAccess(
    public val operator: OperatorName,
    public val offices: Set<OfficeName>,
)
