/**
 * What the crash of a worker says of the tasks that ran there.
 *
 * Index of this file
 *   CrashSettings   times and limits
 */
#pragma once

#include <base/clock.h>

namespace QuetzalRock::Workflow {

struct CrashSettings
{
    Duration startupTime = std::chrono::milliseconds(500); ///< a run that is listed so long after its start has started
                                                           ///< without crashing its worker
};

} // namespace QuetzalRock::Workflow
