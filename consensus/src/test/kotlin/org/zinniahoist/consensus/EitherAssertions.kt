package org.zinniahoist.consensus

import arrow.core.Either
import arrow.core.getOrElse
import strikt.api.Assertion

/** Asserts that the subject is an [Either.Left] and maps to its value. */
internal fun <E : Any, A> Assertion.Builder<Either<E, A>>.isLeft(): Assertion.Builder<E> =
    assert("is a left") { if (it.isLeft()) pass() else fail(it) }.get { checkNotNull(leftOrNull()) }

/** Asserts that the subject is an [Either.Right] and maps to its value. */
internal fun <E, T> Assertion.Builder<Either<E, T>>.isRight(): Assertion.Builder<T> =
    assert("is a right") { if (it.isRight()) pass() else fail(it) }.get { getOrElse { error("not an Either.Right") } }
