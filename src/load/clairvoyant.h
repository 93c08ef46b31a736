/// The dispatcher that response times are compared with.
#pragma once

#include <span>
#include <vector>

#include "load/job_plan.h"
#include "load/workload.h"

namespace quetzalvale {

/// Returns the response time of each job, in milliseconds, under a dispatcher that knows the true
/// run times and speeds, pays no message but the caller's and the endpoint's network latency, and
/// places each task for the earliest finish without preemption: jobs in order of arrival, the
/// longest tasks of a job first. Precondition: jobs are ordered by send time.
std::vector<double> ClairvoyantResponses(std::span<const PlannedJob> jobs,
                                         std::span<const WorkloadEndpoint> endpoints,
                                         double one_way_latency_ms);

}  // namespace quetzalvale
