package tanagerlane.quarantine

import kotlin.time.Instant

/**
 * Evidence and what this process does with it.
 *
 * @property nextReportAt time from which it is reported again
 * @property keptUntil time until which it is kept, however old it is
 */
internal class KnownEvidence(
    var request: LostRequest,
    var nextReportAt: Instant,
    val keptUntil: Instant,
)
