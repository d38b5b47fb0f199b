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
 * Saves the received events of unfinished items on a local disk, so that a restarted process can resume them.
 *
 * Correctness does not depend on it: if the disk is empty or corrupt, items are run from their beginning. All functions
 * block on disk access and must be called by one thread at a time.
 *
 * @param maximumBytes size of the file in bytes above which [needsCompaction] is true
 */
internal class ProgressFile(
    private val folder: Path,
    private val incarnation: Incarnation,
    private val maximumBytes: Long = MAXIMUM_BYTES,
) {
    private var number = 0
    private var currentChannel: FileChannel? = null

    /** Whether the file has grown over its size limit, so that [replace] should be called. */
    val needsCompaction: Boolean get() = (currentChannel?.size() ?: 0) > maximumBytes

    /** Reads the progress that earlier processes saved, and copies it to a new file of this process. */
    fun open(now: Instant): RecoveredProgress {
        val recovered = RecoveredProgress()
        try {
            folder.createDirectories()
            files().sortedBy { it.name }.forEach { file ->
                ProgressFrames.decode(file.readBytes()).forEach(recovered::add)
            }
            val items = recovered.items(now)
            replace(items)
            logger.info("progress read folder={} items={}", folder, items.size)
        } catch (exception: IOException) {
            logger.warn("progress not read folder={}", folder, exception)
        }
        return recovered
    }

    /** Appends [items]; returns whether they are on the disk. */
    fun append(items: List<SavedProgress>): Boolean {
        val channel = currentChannel ?: return false
        return try {
            write(channel, items)
            true
        } catch (exception: IOException) {
            logger.warn("progress not saved folder={} items={}", folder, items.size, exception)
            false
        }
    }

    /** Replaces all saved progress by [items], in a new file; returns whether they are on the disk. */
    fun replace(items: List<SavedProgress>): Boolean {
        val previousChannel = currentChannel
        val file = folder.resolve("$PREFIX${incarnation.number}-${(number++).toString().padStart(NUMBER_DIGITS, '0')}")
        return try {
            val channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND)
            currentChannel = channel
            items.chunked(ITEMS_PER_RECORD).forEach { write(channel, it) }
            previousChannel?.close()
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
        const val ITEMS_PER_RECORD = 16

        /** Size in bytes above which the file is replaced by one that holds only the unfinished items. */
        const val MAXIMUM_BYTES = 16L * 1024 * 1024
        val logger = LoggerFactory.getLogger(ProgressFile::class.java)
    }
}
