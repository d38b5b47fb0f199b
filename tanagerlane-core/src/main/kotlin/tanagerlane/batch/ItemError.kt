package tanagerlane.batch

/** What is wrong with a line of a submission. */
public sealed interface ItemError {
    /** The line is not a JSON object. */
    public data object Malformed : ItemError

    /** A field is missing, or is of another type. */
    public data class MissingField(
        val field: String,
    ) : ItemError

    /** A field is over [maximumLength] characters. */
    public data class FieldTooLong(
        val field: String,
        val maximumLength: Int,
    ) : ItemError

    /** The line is over [maximumBytes]. */
    public data class TooLarge(
        val maximumBytes: Int,
    ) : ItemError

    /** Objects and lists are nested deeper than [maximumDepth]. */
    public data class TooDeep(
        val maximumDepth: Int,
    ) : ItemError
}
