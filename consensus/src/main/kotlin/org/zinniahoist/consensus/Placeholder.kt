package org.zinniahoist.consensus

internal object Placeholder
