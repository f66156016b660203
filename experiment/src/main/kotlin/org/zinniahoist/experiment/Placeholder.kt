package org.zinniahoist.experiment

internal object Placeholder
