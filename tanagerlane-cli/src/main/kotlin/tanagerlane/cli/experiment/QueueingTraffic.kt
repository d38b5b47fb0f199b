package tanagerlane.cli.experiment

import tanagerlane.model.WorkspaceName
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Requests of an experiment, decided by a seed. */
internal class QueueingTraffic(
    seed: Long,
) {
    private val random = Random(seed)

    /** Returns Poisson arrivals of one [workspace], each [burst] requests at once, [rate] requests a second in all. */
    fun arrivals(
        workspace: WorkspaceName,
        rate: Double,
        burst: Int,
        length: Duration,
    ): List<QueueingArrival> =
        generateSequence(gap(rate / burst)) { it + gap(rate / burst) }
            .takeWhile { it < length }
            .flatMap { at -> List(burst) { arrival(at, workspace) } }
            .toList()

    /** Returns a request with a prompt whose beginning all requests of [workspace] share. */
    fun arrival(
        at: Duration,
        workspace: WorkspaceName,
    ): QueueingArrival {
        val shared = List(SHARED_WORDS) { "$workspace-$it" }
        val own = List(random.nextInt(LEAST_WORDS, MOST_WORDS)) { WORDS.random(random) }
        return QueueingArrival(at, workspace, shared + own, random.nextInt(LEAST_TOKENS, MOST_TOKENS))
    }

    private fun gap(rate: Double): Duration = (-ln(1 - random.nextDouble()) / rate).seconds

    private companion object {
        const val SHARED_WORDS = 64
        const val LEAST_WORDS = 50
        const val MOST_WORDS = 350
        const val LEAST_TOKENS = 20
        const val MOST_TOKENS = 160
        val WORDS = List(1000) { "word$it" }
    }
}
