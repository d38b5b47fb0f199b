package tanagerlane.direct

import org.slf4j.LoggerFactory
import tanagerlane.joblog.RecoveredProgress
import tanagerlane.joblog.SavedProgress
import tanagerlane.joblog.SavedProgressRecord
import tanagerlane.model.Incarnation
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import kotlin.io.path.createDirectories
import kotlin.io.path.deleteIfExists
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readBytes
import kotlin.time.Instant

/**
 * Keeps on a local disk what has come of items, so that a process that starts again goes on with them.
 *
 * Nothing depends on it: an empty or spoiled disk means that items are run from their beginning. All functions wait for
 * the disk and are called by one thread at a time.
 */
internal class ProgressFile(
    private val folder: Path,
    private val incarnation: Incarnation,
    private val maximumBytes: Long = MAXIMUM_BYTES,
) {
    private var number = 0
    private var current: FileChannel? = null

    /** Whether the file has grown so long that [replace] should be called. */
    val isLong: Boolean get() = (current?.size() ?: 0) > maximumBytes

    /** Reads what earlier processes have saved, and puts it into a file of this one. */
    fun open(now: Instant): RecoveredProgress {
        val ledger = RecoveredProgress()
        try {
            folder.createDirectories()
            files().sortedBy { it.name }.forEach { file ->
                ProgressFrames.decode(file.readBytes()).forEach(ledger::add)
            }
            val items = ledger.items(now)
            replace(items)
            logger.info("progress read folder={} items={}", folder, items.size)
        } catch (exception: IOException) {
            logger.warn("progress not read folder={}", folder, exception)
        }
        return ledger
    }

    /** Adds [items]; returns whether they are on the disk. */
    fun append(items: List<SavedProgress>): Boolean {
        val channel = current ?: return false
        return try {
            write(channel, items)
            true
        } catch (exception: IOException) {
            logger.warn("progress not saved folder={} items={}", folder, items.size, exception)
            false
        }
    }

    /** Replaces all that is saved by [items]; returns whether they are on the disk. */
    fun replace(items: List<SavedProgress>): Boolean {
        val before = current
        val file = folder.resolve("$PREFIX${incarnation.number}-${(number++).toString().padStart(NUMBER_DIGITS, '0')}")
        return try {
            val channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND)
            current = channel
            items.chunked(ITEMS_OF_A_RECORD).forEach { write(channel, it) }
            before?.close()
            files().filter { it != file }.forEach { it.deleteIfExists() }
            true
        } catch (exception: IOException) {
            logger.warn("progress not replaced file={}", file, exception)
            false
        }
    }

    private fun write(
        channel: FileChannel,
        items: List<SavedProgress>,
    ) {
        val buffer = ByteBuffer.wrap(ProgressFrames.encode(SavedProgressRecord(items)))
        while (buffer.hasRemaining()) {
            channel.write(buffer)
        }
        channel.force(false)
    }

    private fun files(): List<Path> =
        if (Files.isDirectory(folder)) folder.listDirectoryEntries("$PREFIX*") else emptyList()

    private companion object {
        const val PREFIX = "progress-"
        const val NUMBER_DIGITS = 6
        const val ITEMS_OF_A_RECORD = 16

        /** Bytes after which the file is replaced by one with the unfinished items only. */
        const val MAXIMUM_BYTES = 16L * 1024 * 1024
        val logger = LoggerFactory.getLogger(ProgressFile::class.java)
    }
}
