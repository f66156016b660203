package org.zinniahoist.settings

internal object Placeholder
