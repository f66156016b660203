package org.zinniahoist.gateway.core

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.state.service.JobRecord
import org.zinniahoist.state.service.ServiceListener
import org.zinniahoist.state.service.StoredConfiguration

/** Ignores all state changes. */
internal object SilentListener : ServiceListener {
    override fun onConfiguration(configuration: StoredConfiguration) = Unit

    override fun onJob(record: JobRecord) = Unit

    override fun onResults(record: JobRecord) = Unit

    override fun onVersion(model: ModelName, version: WeightVersion) = Unit
}
