package org.zinniahoist.model

import kotlinx.serialization.Serializable

/** Name of an instance, unique in the deployment. */
@JvmInline
@Serializable
public value class InstanceName(public val value: String) {
    override fun toString(): String = value
}

/** Name of a caller: a person or program that sends live requests under one contract. */
@JvmInline
@Serializable
public value class CallerName(public val value: String) {
    override fun toString(): String = value
}

/** Name of a trainer. */
@JvmInline
@Serializable
public value class TrainerName(public val value: String) {
    override fun toString(): String = value
}

/** Name of a model as callers and trainers request it. */
@JvmInline
@Serializable
public value class ModelName(public val value: String) {
    override fun toString(): String = value
}

/** Name of a plain service that entries route to. */
@JvmInline
@Serializable
public value class ServiceName(public val value: String) {
    override fun toString(): String = value
}

/** Path of a branch in the settings tree, such as `root/hrubec/cz-central`. */
@JvmInline
@Serializable
public value class BranchName(public val value: String) {
    override fun toString(): String = value
}

/** Number of a training step, chosen by its trainer. */
@JvmInline
@Serializable
public value class StepNumber(public val value: Long) : Comparable<StepNumber> {
    override fun compareTo(other: StepNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Identifier of a request, unique across entries and restarts. */
@JvmInline
@Serializable
public value class RequestIdentifier(public val value: String) {
    override fun toString(): String = value
}

/** Identifier of one attempt at a request, drawn anew for each attempt. */
@JvmInline
@Serializable
public value class AttemptIdentifier(public val value: String) {
    override fun toString(): String = value
}

/** Number of a process start. A process that restarts has a new incarnation. */
@JvmInline
@Serializable
public value class Incarnation(public val value: Long)

/** Number of an accepted change to the settings tree. Later changes have larger numbers. */
@JvmInline
@Serializable
public value class Revision(public val value: Long) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** The revision of an empty tree. */
        public val NONE: Revision = Revision(0)
    }
}

/** Monotonically increasing number with which a receiver rejects stale holders and stale orders. */
@JvmInline
@Serializable
public value class FencingToken(public val value: Long) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
