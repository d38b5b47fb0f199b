package io.kotest.provided

import io.kotest.core.config.AbstractProjectConfig
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** Ends a test that hangs, so that the build ends and names it. */
class ProjectConfig : AbstractProjectConfig() {
    override val timeout: Duration = 5.minutes
}
