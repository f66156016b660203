package org.zinniahoist.daemon

internal object Placeholder
