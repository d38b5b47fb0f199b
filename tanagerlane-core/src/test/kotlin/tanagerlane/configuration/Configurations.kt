package tanagerlane.configuration

import tanagerlane.inventory.AcceptedChange
import tanagerlane.inventory.CallerKey
import tanagerlane.inventory.Configuration
import tanagerlane.inventory.Inventory
import tanagerlane.inventory.Site
import tanagerlane.inventory.Target
import tanagerlane.inventory.Workspace
import tanagerlane.keys.PresentedKey
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.ModelName
import tanagerlane.model.Revision
import tanagerlane.model.TargetName
import tanagerlane.model.WorkspaceName
import kotlin.random.Random

/** Creates configurations and members for tests. */
internal object Configurations {
    fun of(
        revision: Long,
        domains: Int = 3,
        workspaces: Int = 8,
        keysEach: Int = 1,
        targets: Int = 11,
    ): Configuration {
        val random = Random(1)
        val sites = listOf(Site("site", (1..domains).map { FailureDomain("site-$it") }))
        return Configuration(
            revision = Revision(revision),
            inventory =
                Inventory(
                    deployment = "deployment",
                    sites = sites,
                    targets = (1..targets).map { target(it, domains) },
                    workspaces =
                        (1..workspaces).map {
                            Workspace(
                                WorkspaceName("workspace-$it"),
                                10.0 + it,
                                20 + it,
                                it % 4 + 1,
                            )
                        },
                ),
            keys = (1..workspaces).flatMap { workspace -> (1..keysEach).map { key(workspace, it, random) } },
            accepted =
                (1..revision)
                    .map {
                        AcceptedChange(
                            "change-$it",
                            Revision(it),
                        )
                    }.takeLast(ConfigurationCodec.MAXIMUM_ACCEPTED_CHANGES),
        )
    }

    fun key(
        workspace: Int,
        number: Int,
        random: Random,
    ): CallerKey {
        val key = PresentedKey.of(random.nextBytes(PresentedKey.RANDOM_BYTES))
        return CallerKey(key.digest(), WorkspaceName("workspace-$workspace"), "key-$number")
    }

    fun members(
        domains: Int,
        hosts: Int,
    ): List<RelayMember> =
        (0 until hosts).map {
            RelayMember(HostName("host-$it"), FailureDomain("site-${it % domains + 1}"))
        }

    private fun target(
        number: Int,
        domains: Int,
    ): Target =
        Target(
            name = TargetName("target-$number"),
            failureDomain = FailureDomain("site-${number % domains + 1}"),
            models = listOf(ModelName("model")),
            window = 16,
        )
}
