package org.zinniahoist.daemon.control

import org.zinniahoist.model.Region

/** Names of the consensus groups. */
public object GroupName {
    /** The group of settings, weight versions, orders and drains. */
    public const val SETTINGS: String = "settings"

    /** Returns the group of the ledgers of [region]. */
    public fun ledger(region: Region): String = "ledger-${region.value}"
}
