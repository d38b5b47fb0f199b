package tanagerlane.direct

import java.util.concurrent.atomic.AtomicLong

/** An endless answer of a [FakeTarget]. */
internal class EndlessAnswer {
    /** Number of bytes sent. */
    val bytes = AtomicLong()

    @Volatile
    var isClosed = false
}
