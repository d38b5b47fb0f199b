package tanagerlane.batch

/** Why a line of a submission is rejected. */
public sealed interface ItemError {
    /** The line is not a JSON object. */
    public data object Malformed : ItemError

    /** The field [field] is missing, empty or has the wrong type. */
    public data class MissingField(
        val field: String,
    ) : ItemError

    /** The field [field] is longer than [maximumLength] characters. */
    public data class FieldTooLong(
        val field: String,
        val maximumLength: Int,
    ) : ItemError

    /** The line is longer than [maximumBytes] bytes. */
    public data class TooLarge(
        val maximumBytes: Int,
    ) : ItemError

    /** Objects and arrays are nested more than [maximumDepth] levels deep. */
    public data class TooDeep(
        val maximumDepth: Int,
    ) : ItemError
}
