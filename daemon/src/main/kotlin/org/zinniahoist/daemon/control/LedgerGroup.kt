package org.zinniahoist.daemon.control

import org.zinniahoist.model.Region

/** Name of the consensus group `ledger` of [region]. */
public fun ledgerGroup(region: Region): String = "ledger-${region.value}"
