package tanagerlane.joblog

/** Sizes of texts in the encodings in which they are stored and sent; the number of characters says little about them. */
public object TextSize {
    /** Returns the bytes of [text] in UTF-8. */
    public fun utf8(text: String): Int = text.sumOf(::utf8)

    /** Returns the bytes of [text] within a JSON string in UTF-8, without the quotes around it. */
    public fun json(text: String): Int =
        text.sumOf { character ->
            when (character) {
                '"', '\\', '\n', '\r', '\t', '\b', FORM_FEED -> SHORT_ESCAPE_BYTES
                in '\u0000'..<' ' -> LONG_ESCAPE_BYTES
                else -> utf8(character)
            }
        }

    /** A surrogate counts half of the four bytes of its pair. */
    private fun utf8(character: Char): Int =
        when {
            character < '\u0080' -> 1
            character < '\u0800' || character.isSurrogate() -> 2
            else -> 3
        }

    private const val FORM_FEED = '\u000c'
    private const val SHORT_ESCAPE_BYTES = 2
    private const val LONG_ESCAPE_BYTES = 6
}
