package org.zinniahoist.operator

internal object Placeholder
