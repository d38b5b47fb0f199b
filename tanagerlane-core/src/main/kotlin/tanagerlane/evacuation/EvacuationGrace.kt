package tanagerlane.evacuation

import kotlin.time.Duration

/**
 * Decides whether a process that has just started, or runs again after a pause, may send requests by the evacuations
 * that it knows.
 *
 * An evacuation that was acknowledged longer than the bound ago must be known. If a process can't find out, it serves
 * after a while by what it knows: an outage of the object API, in which no evacuation begins, must not make it useless.
 *
 * @property bound time within which an evacuation has to be in force; a process that has received nothing waits for it
 * @property copyGrace time to wait for a newer copy if the one received is older than the bound
 * @property pauseThreshold time without running after which a process counts as paused
 */
public data class EvacuationGrace(
    val bound: Duration,
    val copyGrace: Duration = bound / 5,
    val pauseThreshold: Duration = bound / 3,
) {
    /**
     * Whether requests may be sent.
     *
     * @param sinceStart time since the process started or ran again after a pause
     * @param age time since the evacuations known were current, or null if none were ever received
     * @param hasCopy whether they were received since the start or pause
     */
    public fun maySend(
        sinceStart: Duration,
        age: Duration?,
        hasCopy: Boolean,
    ): Boolean =
        sinceStart > bound ||
            (age != null && age <= bound) ||
            (hasCopy && sinceStart > copyGrace)
}
