package io.kotest.provided

import io.kotest.core.config.AbstractProjectConfig
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** Fails a hanging test, so that the build ends and reports it. */
class ProjectConfig : AbstractProjectConfig() {
    override val timeout: Duration = 5.minutes
}
