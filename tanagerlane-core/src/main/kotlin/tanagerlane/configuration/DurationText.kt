package tanagerlane.configuration

import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.toDuration

private val DURATION_TEXT = Regex("([0-9]+(?:\\.[0-9]+)?)(ms|s|m|h)")

private val UNITS =
    mapOf(
        "ms" to DurationUnit.MILLISECONDS,
        "s" to DurationUnit.SECONDS,
        "m" to DurationUnit.MINUTES,
        "h" to DurationUnit.HOURS,
    )

/** Returns the duration that [text] gives as a number with its unit, or null where it does not. */
internal fun durationOf(text: String): Duration? {
    val (number, unit) = DURATION_TEXT.matchEntire(text)?.destructured ?: return null
    return number.toDouble().toDuration(UNITS.getValue(unit))
}
