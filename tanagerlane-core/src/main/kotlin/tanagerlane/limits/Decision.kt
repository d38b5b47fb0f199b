package tanagerlane.limits

/**
 * The outcome of an [Admission.Pending].
 *
 * @property number number that the question had
 * @property admission either [Admission.Admitted] or [Admission.Refused]
 */
public data class Decision(
    val number: Long,
    val admission: Admission,
)
