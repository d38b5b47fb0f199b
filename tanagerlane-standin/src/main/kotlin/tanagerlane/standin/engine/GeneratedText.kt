package tanagerlane.standin.engine

import kotlin.random.Random

/** Text that depends only on a seed and a prompt. */
internal class GeneratedText(
    private val seed: Long,
    prompt: List<String>,
) {
    private val promptSeed = prompt.hashCode()

    /** Returns the token at place [number], with the space that parts it from the one before. */
    fun token(number: Int): String {
        val word = WORDS.random(Random(seed xor (promptSeed * TOKEN_FACTOR + number)))
        return if (number == 0) word else " $word"
    }

    private companion object {
        const val TOKEN_FACTOR = 1_000_003L
        val WORDS =
            "heater point rail frost dawn switch crew report chart caption clinic height press plate order stable"
                .split(' ')
    }
}
