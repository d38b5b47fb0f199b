package tanagerlane.routing

/** A 64-bit hash of text that is the same on every host and in every version of the system. */
internal object StableHash {
    private const val OFFSET_BASIS = -0x340d631b7bdddcdbL
    private const val PRIME = 0x100000001b3L
    private const val FIRST_MULTIPLIER = -0xae502812aa7333L
    private const val SECOND_MULTIPLIER = -0x3b314601e57a13adL
    private const val SHIFT = 33

    /** Hashes [text], starting from [seed]. */
    fun of(
        text: String,
        seed: Long = OFFSET_BASIS,
    ): Long = mix(text.fold(seed) { hash, character -> (hash xor character.code.toLong()) * PRIME })

    /** Hashes [bytes], starting from [seed]. */
    fun of(
        bytes: ByteArray,
        seed: Long = OFFSET_BASIS,
    ): Long = mix(bytes.fold(seed) { hash, byte -> (hash xor byte.toLong()) * PRIME })

    /** Mixes the bits of [number], so that hashes are evenly distributed. */
    fun mix(number: Long): Long {
        var hash = number
        hash = (hash xor (hash ushr SHIFT)) * FIRST_MULTIPLIER
        hash = (hash xor (hash ushr SHIFT)) * SECOND_MULTIPLIER
        return hash xor (hash ushr SHIFT)
    }
}
