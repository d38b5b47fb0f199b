package tanagerlane.batch

import tanagerlane.job.JobHeader

/**
 * Orders open jobs by due time, after fairness among workspaces.
 *
 * A workspace that is served more than [allowance] items beyond the least served of those that wait, by their
 * weights, comes after the others.
 */
public fun orderedJobs(
    jobs: Collection<JobHeader>,
    shares: WorkspaceShares,
    allowance: Double = FAIRNESS_ALLOWANCE_ITEMS,
): List<JobHeader> {
    val least = jobs.minOfOrNull { shares.servedOf(it.workspace) } ?: return emptyList()
    return jobs.sortedWith(
        compareBy<JobHeader> { shares.servedOf(it.workspace) > least + allowance }
            .thenBy { it.due }
            .thenBy { it.submittedAt }
            .thenBy { it.workspace.text }
            .thenBy { it.job.text },
    )
}

/** Items by which one workspace may be ahead of another of the same weight. */
public const val FAIRNESS_ALLOWANCE_ITEMS: Double = 512.0
