package tanagerlane.limits

/**
 * Outcome of an [Admission.Pending].
 *
 * @property number [Admission.Pending.number] of the pending admission
 * @property admission either [Admission.Admitted] or [Admission.Refused]
 */
public data class Decision(
    val number: Long,
    val admission: Admission,
)
