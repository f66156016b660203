package org.zinniahoist.policy

internal object Placeholder
