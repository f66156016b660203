package org.zinniahoist.wire

import kotlinx.serialization.Serializable

/** A message on a link between two daemons. Each message is encoded as one CBOR frame. */
@Serializable
public sealed interface Message
