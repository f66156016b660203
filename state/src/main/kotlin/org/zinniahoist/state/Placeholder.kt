package org.zinniahoist.state

internal object Placeholder
