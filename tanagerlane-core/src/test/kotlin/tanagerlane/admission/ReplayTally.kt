package tanagerlane.admission

/** What became of the requests of a group. */
internal class ReplayTally {
    var asked = 0
    var inTime = 0
    var late = 0
    var retried = 0
    var refusedPromptly = 0
    var refusedLate = 0
    var refusedAgain = 0
    var value = 0.0

    val meanValue: Double get() = value / asked

    /** Share of the requests that were served in time, at once or at their retry. */
    val servedShare: Double get() = (inTime + retried).toDouble() / asked

    override fun toString(): String =
        "asked=$asked value=%.3f in_time=$inTime on_retry=$retried late=$late refused_promptly=$refusedPromptly "
            .format(meanValue) + "refused_later=$refusedLate refused_again=$refusedAgain"
}
