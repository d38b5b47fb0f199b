package tanagerlane.standin.engine

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.delay
import tanagerlane.model.RequestId

/** Steps an engine in real time and hands each sequence its tokens. */
internal class EngineRunner(
    private val engine: SimulatedEngine,
) {
    private val lock = Any()
    private val outputs = HashMap<RequestId, Channel<EngineToken>>()
    private val wake = Channel<Unit>(Channel.CONFLATED)

    /** Sequences that run and wait now. */
    val load: EngineLoad
        get() = synchronized(lock) { EngineLoad(engine.runningCount, engine.waitingCount) }

    /** Most recent changes of the prefix cache. */
    val cacheEvents: List<CacheEvent>
        get() = synchronized(lock) { engine.cacheEvents }

    /** Starts [request] and returns its tokens; null when a sequence with its identity is there already. */
    fun submit(request: EngineRequest): ReceiveChannel<EngineToken>? {
        val output = Channel<EngineToken>(Channel.UNLIMITED)
        synchronized(lock) {
            if (outputs.putIfAbsent(request.id, output) != null) {
                return null
            }
            engine.submit(request)
        }
        wake.trySend(Unit)
        return output
    }

    /** Drops the sequence [id] and ends its tokens; returns false when there is none. */
    fun cancel(id: RequestId): Boolean =
        synchronized(lock) {
            outputs.remove(id)?.close()
            engine.cancel(id)
        }

    /** Drops the sequence [id] if its tokens still go to [output]. */
    fun abandon(
        id: RequestId,
        output: ReceiveChannel<EngineToken>,
    ) {
        synchronized(lock) {
            if (outputs[id] === output) {
                cancel(id)
            }
        }
    }

    /** Steps until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            val step = synchronized(lock) { engine.step() }
            if (step == null) {
                wake.receive()
            } else {
                delay(step.duration)
                step.tokens.forEach(::deliver)
            }
        }
    }

    private fun deliver(token: EngineToken) {
        synchronized(lock) {
            outputs[token.id]?.trySend(token)
            if (token.last) {
                outputs.remove(token.id)?.close()
            }
        }
    }
}
