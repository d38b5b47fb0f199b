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

/** Parses [text], a number followed by a unit such as `250ms`; returns null if it has another form. */
internal fun durationOf(text: String): Duration? {
    val (number, unit) = DURATION_TEXT.matchEntire(text)?.destructured ?: return null
    return number.toDouble().toDuration(UNITS.getValue(unit))
}
