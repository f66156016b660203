package org.zinniahoist.wire

internal object Placeholder
