package tanagerlane.batch

import tanagerlane.job.JobHeader

/**
 * Orders open jobs by fairness among workspaces, then by due time.
 *
 * Jobs of a workspace that was served more than [allowance] weighted items beyond the least-served workspace with open
 * jobs come after the others.
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

/** Weighted items by which one workspace may be ahead of another; equal to items at weight 1. */
public const val FAIRNESS_ALLOWANCE_ITEMS: Double = 512.0
