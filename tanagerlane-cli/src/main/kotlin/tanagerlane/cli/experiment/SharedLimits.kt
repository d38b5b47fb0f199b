package tanagerlane.cli.experiment

import tanagerlane.standin.store.MemoryObjectStore
import tanagerlane.standin.store.StoreFaults
import kotlin.time.Duration.Companion.milliseconds

private val ONE_WAY = 1.milliseconds

/** Rates counted over all entries together. */
internal fun sharedLimits(): LimitsMechanism =
    LimitsMechanism("shared") { fleet ->
        val store = MemoryObjectStore()
        val entries = ArrayList<SharedLimitsEntry>()
        val numbers = (0 until fleet.entries).associateBy { SharedLimitsEntry.hostName(it) }
        for (number in 0 until fleet.entries) {
            entries +=
                SharedLimitsEntry(number, fleet, store) { from, outgoing ->
                    val receiver = entries[numbers.getValue(outgoing.to)]
                    fleet.time.after(ONE_WAY) { receiver.receive(from, outgoing.message) }
                }
        }
        fleet.time.every(ONE_WAY * 10) { store.faults = StoreFaults(down = fleet.isStoreDown) }
        entries.forEach { it.start() }
        val decide: AdmissionDecider = { entry, limit, outcome -> entries[entry].decide(limit, outcome) }
        decide
    }
