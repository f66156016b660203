package org.zinniahoist.standin

internal object Placeholder
