package org.zinniahoist.model

import kotlinx.serialization.Serializable

/** Name of an instance, unique in the deployment. */
@JvmInline
@Serializable
public value class InstanceName(public val value: String) {
    override fun toString(): String = value
}

/** Name of a caller, a client that sends live requests under one contract. */
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

/** Name by which callers and trainers request a model. */
@JvmInline
@Serializable
public value class ModelName(public val value: String) {
    override fun toString(): String = value
}

/** Name of a plain service to which entries route requests. */
@JvmInline
@Serializable
public value class ServiceName(public val value: String) {
    override fun toString(): String = value
}

/** Name of a workspace, which owns the keys of a group of callers. */
@JvmInline
@Serializable
public value class WorkspaceName(public val value: String) {
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

/** Identifier of one attempt at a request, generated for each attempt. */
@JvmInline
@Serializable
public value class AttemptIdentifier(public val value: String) {
    override fun toString(): String = value
}

/**
 * Random number that distinguishes the starts of a process. A restarted process has a new incarnation.
 *
 * Incarnations have no order, because a process without a disk can't know its earlier ones.
 */
@JvmInline
@Serializable
public value class Incarnation(public val value: Long)

/** Revision number of the settings tree. Each accepted change increases it. */
@JvmInline
@Serializable
public value class Revision(public val value: Long) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** Revision of an empty settings tree. */
        public val NONE: Revision = Revision(0)
    }
}

/** Monotonically increasing number by which receivers reject former lease holders and outdated orders. */
@JvmInline
@Serializable
public value class FencingToken(public val value: Long) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
