package org.zinniahoist.model

/** Syntax of the fields of an HTTP message (RFC 9110, section 5). */
public object FieldSyntax {
    private const val NAME_SYMBOLS = "!#$%&'*+-.^_`|~"
    private const val FIRST_PRINTABLE = ' '
    private const val DELETE = '\u007f'

    /** Returns true if [text] can be the name of a field, or a method. */
    public fun isName(text: String): Boolean = text.isNotEmpty() && text.all(::isNameCharacter)

    /** Returns true if [text] can be the value of a field. Characters above ASCII stand for bytes or for UTF-8. */
    public fun isValue(text: String): Boolean = text.all { (it >= FIRST_PRINTABLE && it != DELETE) || it == '\t' }

    private fun isNameCharacter(character: Char): Boolean = character in 'a'..'z' ||
        character in 'A'..'Z' ||
        character in '0'..'9' ||
        character in NAME_SYMBOLS
}
